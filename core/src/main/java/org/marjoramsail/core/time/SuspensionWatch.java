package org.marjoramsail.core.time;

/**
 * Detects that the host may have been suspended for a time that the clock of this process did not
 * count.
 *
 * <p>Guards against a lease that was taken over during the suspension: the monotonic clock stops
 * with the host, so the lease would still seem valid. The wall clock continues during a suspension.
 * A step of the wall clock is also reported as a suspension, which costs one renewal of the lease.
 *
 * <p>Not thread-safe.
 */
public final class SuspensionWatch {

  /** The tolerance for the drift between the clocks and for reading one after the other. */
  private static final long TOLERANCE_MILLIS = 250;

  private final Clock steady;
  private final Clock wall;
  private long aheadMillis;

  /**
   * Starts observing the clocks.
   *
   * @param steady the clock by which time-outs are counted
   * @param wall the time of day, which continues while the host is suspended
   */
  public SuspensionWatch(Clock steady, Clock wall) {
    this.steady = steady;
    this.wall = wall;
    this.aheadMillis = wall.millis() - steady.millis();
  }

  /** Returns whether the clocks have diverged since the last call. */
  public boolean hasSuspended() {
    long before = aheadMillis;
    aheadMillis = wall.millis() - steady.millis();
    return Math.abs(aheadMillis - before) > TOLERANCE_MILLIS;
  }
}
