package org.marjoramsail.daemon.metrics;

import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Vertx;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Measures how late an event loop runs a periodic task, which bounds how long anything else waited
 * there to be read or sent. Runs on one event loop.
 */
public final class EventLoopDelay {

  /** Interval of the periodic task, in milliseconds. */
  static final long INTERVAL_MILLIS = 100;

  /** Delay from which on it is logged, in milliseconds. */
  private static final long LOGGED_MILLIS = 500;

  private static final long WINDOW_MILLIS = 10_000;

  private static final Logger LOG = LoggerFactory.getLogger(EventLoopDelay.class);

  private final Clock clock;
  private long lastRunAtMillis;
  private long windowStartMillis;
  private long maximumInWindowMillis;
  private long maximumBeforeMillis;

  /**
   * Creates an instance; {@link #start} begins the measurement.
   *
   * @param meters gets the gauge {@code marjoramsail.event.loop.delay.millis}
   */
  public EventLoopDelay(Clock clock, MeterRegistry meters) {
    this.clock = clock;
    meters.gauge(
        "marjoramsail.event.loop.delay.millis", this, delay -> (double) delay.maximumMillis());
  }

  /** Starts to measure the event loop that calls this. */
  public void start(Vertx vertx) {
    begin();
    vertx.setPeriodic(INTERVAL_MILLIS, timer -> ran());
  }

  /** Begins to measure; the task runs for the first time one interval later. */
  void begin() {
    lastRunAtMillis = clock.millis();
    windowStartMillis = lastRunAtMillis;
  }

  /** Handles a run of the periodic task. */
  void ran() {
    long nowMillis = clock.millis();
    long delayMillis = Math.max(0, nowMillis - lastRunAtMillis - INTERVAL_MILLIS);
    lastRunAtMillis = nowMillis;
    if (nowMillis - windowStartMillis >= WINDOW_MILLIS) {
      windowStartMillis = nowMillis;
      maximumBeforeMillis = maximumInWindowMillis;
      maximumInWindowMillis = 0;
    }
    maximumInWindowMillis = Math.max(maximumInWindowMillis, delayMillis);
    if (delayMillis >= LOGGED_MILLIS) {
      LOG.atInfo().addKeyValue("delayMillis", delayMillis).log("event loop was late");
    }
  }

  /** Returns the longest delay in the last ten to twenty seconds, in milliseconds. */
  public long maximumMillis() {
    return Math.max(maximumBeforeMillis, maximumInWindowMillis);
  }

  /** Returns the longest delay as text for log lines. */
  public String describe() {
    return ", event loop late by " + maximumMillis() + " ms at most";
  }
}
