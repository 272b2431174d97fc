package org.marjoramsail.core.time;

/**
 * Notices that the host may have stood still for a time that the clock of this process did not
 * count.
 *
 * <p>Guards against a suspended host: its monotonic clock stops with it, so a lease that others
 * have taken since still looks as if it had seconds left. The wall clock goes on meanwhile. A step
 * of the wall clock looks the same and is taken for a suspension, which costs one renewal.
 *
 * <p>Not safe for several threads.
 */
public final class SuspensionWatch {

  /** The two clocks drift and are read one after the other; less than this is no suspension. */
  private static final long TOLERANCE_MILLIS = 250;

  private final Clock steady;
  private final Clock wall;
  private long aheadMillis;

  /**
   * Starts now.
   *
   * @param steady the clock by which time-outs are counted
   * @param wall the time of day, which goes on while the host is suspended
   */
  public SuspensionWatch(Clock steady, Clock wall) {
    this.steady = steady;
    this.wall = wall;
    this.aheadMillis = wall.millis() - steady.millis();
  }

  /** Whether the clocks have moved apart since the last question. */
  public boolean hasSuspended() {
    long before = aheadMillis;
    aheadMillis = wall.millis() - steady.millis();
    return Math.abs(aheadMillis - before) > TOLERANCE_MILLIS;
  }
}
