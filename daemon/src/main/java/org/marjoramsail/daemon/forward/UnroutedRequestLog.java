package org.marjoramsail.daemon.forward;

import java.util.OptionalLong;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Logs requests that are refused because no route matches or their key is unknown, with the version
 * of the routes that decided. The rate is limited, since callers may send such requests at will.
 */
final class UnroutedRequestLog {

  private static final Logger LOG = LoggerFactory.getLogger(UnroutedRequestLog.class);

  private static final long PERIOD_MILLIS = 1_000;
  private static final int LINES_PER_PERIOD = 20;

  private final RoutesStatus routes;
  private final Clock clock;
  private long periodStartMillis = Long.MIN_VALUE;
  private int lines;
  private long suppressed;

  UnroutedRequestLog(RoutesStatus routes, Clock clock) {
    this.routes = routes;
    this.clock = clock;
  }

  /**
   * Logs a refusal.
   *
   * @param attempt identifier of the request
   */
  void refused(String attempt, Refusal refusal) {
    if (!mayLog()) {
      suppressed++;
      return;
    }
    LoggingEventBuilder line =
        LOG.atInfo()
            .addKeyValue("request", attempt)
            .addKeyValue("reason", refusal.reason().code())
            .addKeyValue("detail", refusal.detail())
            .addKeyValue("routesVersion", routes.routesVersion());
    OptionalLong age = routes.routesConfirmedMillisAgo();
    line.addKeyValue("confirmedMillisAgo", age.isPresent() ? age.getAsLong() : "never")
        .addKeyValue("suppressed", suppressed)
        .log("request refused by the routes");
    suppressed = 0;
  }

  private boolean mayLog() {
    long now = clock.millis();
    if (periodStartMillis == Long.MIN_VALUE || now - periodStartMillis >= PERIOD_MILLIS) {
      periodStartMillis = now;
      lines = 0;
    }
    return lines++ < LINES_PER_PERIOD;
  }
}
