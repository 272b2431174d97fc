package org.marjoramsail.daemon.assembly;

import java.util.concurrent.TimeUnit;
import org.marjoramsail.core.time.Clock;

/**
 * The time of this process.
 *
 * <p>It starts at the wall clock and then follows the monotonic clock, so that a step of the wall
 * clock moves no time-out.
 */
public final class SystemClock implements Clock {

  private final long startMillis = System.currentTimeMillis();
  private final long startNanos = System.nanoTime();

  /** Starts now. */
  public SystemClock() {}

  @Override
  public long millis() {
    return startMillis + TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
  }
}
