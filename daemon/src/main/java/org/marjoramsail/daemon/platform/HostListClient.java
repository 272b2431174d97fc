package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.marjoramsail.daemon.connection.MalformedHeadCounts;
import org.marjoramsail.daemon.connection.RequestWatch;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/**
 * Asks the platform for its list of hosts again and again.
 *
 * <p>The waits are spread by jitter, so that the daemons of a fleet that started together do not
 * ask together. While the platform does not answer, the listener keeps what it heard last.
 */
public final class HostListClient implements AutoCloseable {

  private static final ObjectApiCall CALL = new ObjectApiCall(ObjectApiVerb.LIST, "hosts", "");
  private static final int OK = 200;
  private static final double SHORTEST_SHARE = 0.5;
  private static final long LONGEST_STEP_MILLIS = 500;

  private final Vertx vertx;
  private final HttpObjectApiSettings settings;
  private final LongSupplier intervalMillis;
  private final RandomGenerator random;
  private final MeterRegistry meters;
  private final Consumer<HostList> listener;
  private final HttpClient client;
  private final ObjectMapper mapper = new ObjectMapper();
  private volatile boolean closed;

  /**
   * Creates an instance with all that it needs.
   *
   * @param intervalMillis mean time between two calls, in milliseconds; each is drawn between half
   *     and one and a half of it; may change at any time, also during a wait
   * @param listener told of each list that came, on an event loop
   */
  public HostListClient(
      Vertx vertx,
      HttpObjectApiSettings settings,
      LongSupplier intervalMillis,
      RandomGenerator random,
      MeterRegistry meters,
      Consumer<HostList> listener) {
    this.vertx = vertx;
    this.settings = settings;
    this.intervalMillis = intervalMillis;
    this.random = random;
    this.meters = meters;
    this.listener = listener;
    HttpClientOptions options =
        new HttpClientOptions()
            .setDefaultHost(settings.address())
            .setDefaultPort(settings.port())
            .setConnectTimeout(settings.connectTimeoutMillis());
    PoolOptions pool = new PoolOptions().setHttp1MaxSize(1);
    MalformedHeadCounts malformed = new MalformedHeadCounts();
    malformed.registerWith(meters, "host-list");
    this.client =
        RequestWatch.watchAll(vertx.httpClientBuilder().with(options).with(pool), malformed)
            .build();
  }

  /** Asks at once, and goes on until closed. */
  public void start() {
    ask();
  }

  /** Stops asking. */
  @Override
  public void close() {
    closed = true;
    client.close();
  }

  private void ask() {
    if (closed) {
      return;
    }
    client
        .request(options())
        .compose(this::exchange)
        .compose(this::parse)
        .onSuccess(listener::accept)
        .onComplete(result -> count(result.succeeded()))
        .onComplete(unused -> askLater());
  }

  private RequestOptions options() {
    return new RequestOptions()
        .setMethod(HttpMethod.GET)
        .setURI("/hosts")
        .setConnectTimeout(settings.connectTimeoutMillis());
  }

  /** Ends the connection of a call that fails: the next call would wait for it. */
  private Future<Buffer> exchange(HttpClientRequest request) {
    return request
        .send()
        .compose(HostListClient::body)
        .timeout(settings.answerTimeoutMillis(), TimeUnit.MILLISECONDS)
        .onFailure(unused -> request.reset());
  }

  private static Future<Buffer> body(HttpClientResponse response) {
    return response.statusCode() == OK
        ? response.body()
        : Future.failedFuture(
            CALL.refused(response.statusCode(), "", response.getHeader("retry-after")));
  }

  private Future<HostList> parse(Buffer body) {
    try {
      // The JSON literal null is read as no object, not as a failure.
      return Optional.ofNullable(mapper.readValue(body.getBytes(), HostList.class))
          .map(Future::succeededFuture)
          .orElseGet(() -> Future.failedFuture(noList(body)));
    } catch (IOException failure) {
      return Future.failedFuture(failure);
    }
  }

  private static ObjectApiException noList(Buffer body) {
    return CALL.failed(Failure.UNAVAILABLE, "no list of hosts: " + body, null);
  }

  private void askLater() {
    waitOn(0, SHORTEST_SHARE + random.nextDouble());
  }

  /** Waits in steps, since the interval may have become shorter meanwhile. */
  private void waitOn(long waitedMillis, double share) {
    long leftMillis = Math.round(intervalMillis.getAsLong() * share) - waitedMillis;
    if (closed) {
      return;
    }
    if (leftMillis <= 0) {
      ask();
      return;
    }
    long stepMillis = Math.min(leftMillis, LONGEST_STEP_MILLIS);
    vertx.setTimer(stepMillis, unused -> waitOn(waitedMillis + stepMillis, share));
  }

  private void count(boolean answered) {
    meters
        .counter("marjoramsail.platform.hostlist.calls", "result", answered ? "ok" : "failed")
        .increment();
  }
}
