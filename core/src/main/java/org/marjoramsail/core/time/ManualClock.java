package org.marjoramsail.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that advances only on request, for tests, fuzzing and simulations. */
public final class ManualClock implements Clock {

  private final AtomicLong now;

  /** Creates a clock that starts at {@code startMillis}. */
  public ManualClock(long startMillis) {
    this.now = new AtomicLong(startMillis);
  }

  @Override
  public long millis() {
    return now.get();
  }

  /**
   * Advances the clock.
   *
   * @param millis the time to advance by, in milliseconds; zero or more
   * @return the new reading
   */
  public long advance(long millis) {
    if (millis < 0) {
      throw new IllegalArgumentException("A clock moves forward only, not by " + millis + " ms.");
    }
    return now.addAndGet(millis);
  }
}
