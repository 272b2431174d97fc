package org.marjoramsail.command.platform;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.Endpoint;

/**
 * Counts the calls that daemons accepted to relay for others, by their metrics, also those whose
 * upstream they did not reach either. What a process relays after it was last read, and before its
 * end, is not counted. Runs on one event loop.
 */
final class RelayedCalls {

  private static final String METRIC = "marjoramsail_calls_relayed_for_others";
  private static final long INTERVAL_MILLIS = 500;
  private static final long TIMEOUT_MILLIS = 2_000;

  private final Vertx vertx;
  private final Clock clock;
  private final HttpClient client;
  private final PlatformProcesses daemons;
  private final Map<Long, Long> countsByProcess = new HashMap<>();

  RelayedCalls(Vertx vertx, Clock clock, PlatformProcesses daemons) {
    this.vertx = vertx;
    this.clock = clock;
    this.daemons = daemons;
    this.client = vertx.createHttpClient(new HttpClientOptions().setKeepAlive(false));
  }

  /** Reads the metrics of all processes from now on until a time. */
  void start(long untilMillis) {
    vertx.setPeriodic(
        INTERVAL_MILLIS,
        timer -> {
          if (clock.millis() < untilMillis) {
            daemons.operators().forEach(this::read);
          } else {
            vertx.cancelTimer(timer);
          }
        });
  }

  /** Returns the number of calls. */
  int count() {
    return countsByProcess.values().stream().mapToInt(Long::intValue).sum();
  }

  private void read(long process, Endpoint operator) {
    client
        .request(HttpMethod.GET, operator.port(), operator.address(), "/metrics")
        .compose(request -> request.send().compose(HttpClientResponse::body))
        .timeout(TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onSuccess(body -> countsByProcess.merge(process, sum(body.toString()), Math::max));
  }

  private static long sum(String lines) {
    return Math.round(
        lines
            .lines()
            .filter(line -> line.startsWith(METRIC))
            .mapToDouble(line -> Double.parseDouble(line.substring(line.lastIndexOf(' '))))
            .sum());
  }
}
