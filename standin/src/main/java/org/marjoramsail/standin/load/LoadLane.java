package org.marjoramsail.standin.load;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.time.Clock;

/** Sends a share of a workload from one event loop. */
final class LoadLane extends VerticleBase {

  private static final long TURN_MILLIS = 1;
  private static final int CONNECT_TIMEOUT_MILLIS = 1_000;

  private final TargetPool pool;
  private final List<PlannedRequest> requests;
  private final long start;
  private final Clock clock;
  private final ExpectedResponse expected;
  private final ObjectMapper mapper;
  private final LoadRunnerOptions options;
  private final LoadListener listener;
  private int next;
  private HttpClient client;

  LoadLane(
      TargetPool pool,
      List<PlannedRequest> requests,
      long start,
      Clock clock,
      ExpectedResponse expected,
      ObjectMapper mapper,
      LoadRunnerOptions options,
      LoadListener listener) {
    this.pool = pool;
    this.requests = requests;
    this.start = start;
    this.clock = clock;
    this.expected = expected;
    this.mapper = mapper;
    this.options = options;
    this.listener = listener;
  }

  @Override
  public Future<?> start() {
    client =
        vertx.createHttpClient(
            new HttpClientOptions().setConnectTimeout(CONNECT_TIMEOUT_MILLIS),
            new PoolOptions().setHttp1MaxSize(options.connections()));
    pool.probe(client);
    vertx.setPeriodic(TURN_MILLIS, timer -> sendDue());
    vertx.setPeriodic(TargetPool.PROBE_MILLIS, timer -> pool.probe(client));
    return Future.succeededFuture();
  }

  @Override
  public Future<?> stop() {
    return client.close();
  }

  private void sendDue() {
    long now = clock.millis() - start;
    while (next < requests.size() && requests.get(next).atMillis() <= now) {
      new Sending(requests.get(next)).begin();
      next++;
    }
  }

  /** One request on its way. */
  private final class Sending {

    private final PlannedRequest request;
    private final Exchange exchange;
    private final Iterator<LoadTarget> targets;
    private final long deadlineTimer;
    private final Optional<Long> cancelTimer;
    private Optional<HttpClientRequest> open = Optional.empty();
    private boolean reported;

    Sending(PlannedRequest request) {
      this.request = request;
      this.exchange = new Exchange(request, expected, mapper, this::sincePlanned);
      this.targets = pool.order().iterator();
      long lostAfter = request.deadlineMillis() + options.graceMillis() - sincePlanned();
      this.deadlineTimer =
          vertx.setTimer(
              Math.max(1, lostAfter), timer -> giveUp(RequestEnd.LOST, "no end until now"));
      this.cancelTimer =
          request
              .cancelAfterMillis()
              .map(after -> Math.max(1, after - sincePlanned()))
              .map(after -> vertx.setTimer(after, timer -> giveUp(RequestEnd.CANCELLED, "")));
    }

    void begin() {
      if (reported) {
        return;
      }
      if (!targets.hasNext()) {
        finish(RequestEnd.NOT_SENT, "no target took the connection");
        return;
      }
      LoadTarget target = targets.next();
      client
          .request(optionsFor(target))
          .onComplete(connected -> send(target, connected), failure -> connectFailed(target));
    }

    private long sincePlanned() {
      return clock.millis() - start - request.atMillis();
    }

    private RequestOptions optionsFor(LoadTarget target) {
      RequestOptions to =
          new RequestOptions()
              .setMethod(HttpMethod.valueOf(request.method()))
              .setHost(target.address())
              .setPort(target.port())
              .setURI(request.path())
              .putHeader("authorization", "Bearer " + request.token())
              .putHeader("marjoramsail-deadline-millis", Long.toString(request.deadlineMillis()));
      request.idempotencyKey().ifPresent(key -> to.putHeader("idempotency-key", key));
      if (!request.method().equals("GET")) {
        to.putHeader("content-type", "application/json");
      }
      return to;
    }

    /** Nothing was sent yet, so that another target may be tried whatever the request is. */
    private void connectFailed(LoadTarget target) {
      pool.connectFailed(target);
      begin();
    }

    private void send(LoadTarget target, HttpClientRequest connected) {
      if (reported) {
        connected.reset();
        return;
      }
      open = Optional.of(connected);
      exchange.sending(target);
      connected
          .send(Buffer.buffer(request.body()))
          .onComplete(
              response -> exchange.read(response, this::report),
              failure -> finish(RequestEnd.CUT, "no answer began: " + failure.getMessage()));
    }

    private void giveUp(RequestEnd end, String detail) {
      finish(end, detail);
      open.ifPresent(HttpClientRequest::reset);
    }

    private void finish(RequestEnd end, String detail) {
      exchange.end(end, detail);
      report();
    }

    private void report() {
      if (reported) {
        return;
      }
      exchange
          .outcome()
          .ifPresent(
              outcome -> {
                reported = true;
                vertx.cancelTimer(deadlineTimer);
                cancelTimer.ifPresent(vertx::cancelTimer);
                listener.ended(outcome);
              });
    }
  }
}
