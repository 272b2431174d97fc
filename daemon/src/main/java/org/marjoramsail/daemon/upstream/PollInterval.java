package org.marjoramsail.daemon.upstream;

/**
 * How often upstreams are polled.
 *
 * @param intervalMillis the time between two polls of one upstream
 * @param jitterMillis a poll comes up to this much later, so that daemons do not poll in step
 * @param maximumPerSecond the most polls in a second, over all upstreams
 */
public record PollInterval(long intervalMillis, long jitterMillis, int maximumPerSecond) {

  private static final long MILLIS_PER_SECOND = 1_000;

  /** The pace that daemons use where their settings say nothing else. */
  public static PollInterval defaults() {
    return new PollInterval(500, 100, 200);
  }

  /** The interval for a number of upstreams, stretched so that the rate stays in its bound. */
  long intervalMillis(int upstreams) {
    return Math.max(intervalMillis, upstreams * MILLIS_PER_SECOND / maximumPerSecond);
  }
}
