package org.marjoramsail.core.discovery;

import java.util.random.RandomGenerator;

/**
 * How often a list is asked for changes. While it answers, each question waits for a change; while
 * it does not, questions become rarer, each at a moment of its own, so that an outage ends without
 * a flood. Not safe for several threads.
 */
public final class FollowPace {

  private static final long FIRST_RETRY_MILLIS = 120;
  private static final long LONGEST_RETRY_MILLIS = 900;

  private final long waitMillis;
  private final RandomGenerator random;
  private long retryMillis = FIRST_RETRY_MILLIS;

  /**
   * Starts with short waits.
   *
   * @param waitMillis how long a question waits for a change: the longest time for which a
   *     connection that has gone silent stays unnoticed
   * @param random spreads the questions of a fleet
   */
  public FollowPace(long waitMillis, RandomGenerator random) {
    this.waitMillis = waitMillis;
    this.random = random;
  }

  /** How long a question may wait for a change. */
  public long waitMillis() {
    return waitMillis;
  }

  /** Takes that a question was answered. */
  public void succeeded() {
    retryMillis = FIRST_RETRY_MILLIS;
  }

  /** How long to wait after a failure; doubles with each. */
  public long retryMillis() {
    long now = retryMillis;
    retryMillis = Math.min(LONGEST_RETRY_MILLIS, 2 * retryMillis);
    return Math.max(1, Math.round(now * (0.5 + random.nextDouble())));
  }
}
