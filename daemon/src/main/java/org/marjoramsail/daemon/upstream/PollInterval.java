package org.marjoramsail.daemon.upstream;

/**
 * Interval, jitter and rate limit of the polls of upstreams.
 *
 * @param intervalMillis the time between two polls of one upstream
 * @param jitterMillis maximum random delay of a poll, which prevents synchronized polls of daemons
 * @param maximumPerSecond maximum number of polls a second, over all upstreams
 */
public record PollInterval(long intervalMillis, long jitterMillis, int maximumPerSecond) {

  private static final long MILLIS_PER_SECOND = 1_000;

  /** Returns the default values. */
  public static PollInterval defaults() {
    return new PollInterval(500, 100, 200);
  }

  /** Returns the interval for a number of upstreams, extended to respect the rate limit. */
  long intervalMillis(int upstreams) {
    return Math.max(intervalMillis, upstreams * MILLIS_PER_SECOND / maximumPerSecond);
  }
}
