package org.marjoramsail.command.capacity;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.marjoramsail.standin.load.RequestMix;

/** Sends lookups to some ports in turn, on one event loop, and times them in nanoseconds. */
final class Lookups implements AutoCloseable {

  static final int DIGITS = 3;

  private static final String LOOPBACK = "127.0.0.1";
  private static final int OK = 200;
  private static final int CONNECTIONS = 512;
  private static final long PATIENCE_SECONDS = 30;
  private static final double NANOS_PER_SECOND = 1e9;

  /**
   * What came of a run.
   *
   * @param nanos times of the calls, from when they were planned
   * @param answered calls with status 200
   * @param failed all others
   */
  record Result(Histogram nanos, long answered, long failed) {}

  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final HttpClient client =
      vertx.createHttpClient(
          new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(CONNECTIONS));
  private final List<Integer> ports;
  private final String path;

  Lookups(List<Integer> ports, String path) {
    this.ports = List.copyOf(ports);
    this.path = path;
  }

  /** Sends at a rate whatever the answers do; times count from the planned moments. */
  Result openLoop(int perSecond, int seconds) throws CapacityException {
    Run run = new Run((long) perSecond * seconds);
    long startNanos = System.nanoTime();
    vertx.setPeriodic(
        1,
        timer -> {
          double passed = (System.nanoTime() - startNanos) / NANOS_PER_SECOND;
          while (run.sent < run.planned && run.sent < passed * perSecond) {
            long plannedNanos = startNanos + Math.round(run.sent * NANOS_PER_SECOND / perSecond);
            run.call(plannedNanos);
          }
          if (run.sent == run.planned) {
            vertx.cancelTimer(timer);
          }
        });
    return Waiting.on("look up", run.finished.future(), seconds + PATIENCE_SECONDS);
  }

  /** Some callers that each send the next call as soon as the last is answered. */
  Result closedLoop(int callers, int seconds) throws CapacityException {
    Run run = new Run(Long.MAX_VALUE);
    vertx.runOnContext(
        nothing -> {
          long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
          for (int caller = 0; caller < callers; caller++) {
            run.callUntil(endNanos);
          }
        });
    return Waiting.on("look up", run.finished.future(), seconds + PATIENCE_SECONDS);
  }

  @Override
  public void close() throws CapacityException {
    Waiting.on("close the client", vertx.close(), PATIENCE_SECONDS);
  }

  /** One run; used on the event loop alone. */
  private final class Run {
    private final Histogram nanos = new Histogram(DIGITS);
    private final Promise<Result> finished = Promise.promise();
    private final long planned;
    private long sent;
    private long answered;
    private long failed;
    private int callers;

    Run(long planned) {
      this.planned = planned;
    }

    void call(long plannedNanos) {
      send(plannedNanos)
          .onComplete(
              done -> {
                if (answered + failed == planned) {
                  finish();
                }
              });
    }

    void callUntil(long endNanos) {
      callers++;
      send(System.nanoTime())
          .onComplete(
              done -> {
                callers--;
                if (System.nanoTime() < endNanos) {
                  callUntil(endNanos);
                } else if (callers == 0) {
                  finish();
                }
              });
    }

    private Future<Integer> send(long plannedNanos) {
      int port = ports.get((int) (sent % ports.size()));
      sent++;
      return status(port)
          .otherwise(0)
          .onSuccess(
              status -> {
                nanos.recordValue(System.nanoTime() - plannedNanos);
                if (status == OK) {
                  answered++;
                } else {
                  failed++;
                }
              });
    }

    private void finish() {
      finished.complete(new Result(nanos, answered, failed));
    }
  }

  private Future<Integer> status(int port) {
    RequestOptions options =
        new RequestOptions()
            .setMethod(HttpMethod.GET)
            .setHost(LOOPBACK)
            .setPort(port)
            .setURI(path)
            .putHeader("authorization", "Bearer " + token());
    return client
        .request(options)
        .compose(request -> request.send())
        .compose(response -> response.body().map(body -> response.statusCode()));
  }

  private static String token() {
    return RequestMix.token(RequestMix.CABILDO_ABIERTO.organisations().get(0));
  }
}
