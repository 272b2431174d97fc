package org.marjoramsail.standin.server;

import org.marjoramsail.core.time.Clock;

/**
 * The time that a stand-in lives by: scaled, and standing still in a stall.
 *
 * <p>Safe for several threads.
 */
public final class ScaledTime {

  private static final long MICROS_PER_MILLI = 1_000;

  private final Clock clock;
  private final double scale;
  private long reachedMicros;
  private long resumesAtMillis;

  /**
   * Starts at zero.
   *
   * @param clock real time
   * @param scale how many times faster than real time this one passes
   */
  public ScaledTime(Clock clock, double scale) {
    this.clock = clock;
    this.scale = scale;
    this.resumesAtMillis = clock.millis();
  }

  /** Scaled microseconds since the start. */
  public synchronized long micros() {
    long passed = Math.max(0, clock.millis() - resumesAtMillis);
    return reachedMicros + Math.round(passed * scale * MICROS_PER_MILLI);
  }

  /** Scaled milliseconds since the start. */
  public long millis() {
    return micros() / MICROS_PER_MILLI;
  }

  /** Stands still for so many real milliseconds from now, or until an earlier stall ends later. */
  public synchronized void stall(long realMillis) {
    reachedMicros = micros();
    resumesAtMillis = Math.max(resumesAtMillis, clock.millis() + realMillis);
  }

  /** Real milliseconds until a stall ends; zero without one. */
  public synchronized long stalledForMillis() {
    return Math.max(0, resumesAtMillis - clock.millis());
  }
}
