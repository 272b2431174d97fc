package org.marjoramsail.standin.platform;

import org.marjoramsail.core.time.Clock;

/** A token bucket: so many calls a second, with a bounded burst. */
final class CallBudget {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Clock clock;
  private final double callsPerMilli;
  private final double capacity;
  private double tokens;
  private long filledMillis;

  CallBudget(Clock clock, double callsPerSecond, long burstMillis) {
    this.clock = clock;
    this.callsPerMilli = callsPerSecond / MILLIS_PER_SECOND;
    this.capacity = Math.max(1, callsPerMilli * burstMillis);
    this.tokens = capacity;
    this.filledMillis = clock.millis();
  }

  /** Spends one call if the budget has one left. */
  synchronized boolean tryTake() {
    long now = clock.millis();
    tokens = Math.min(capacity, tokens + (now - filledMillis) * callsPerMilli);
    filledMillis = now;
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }
}
