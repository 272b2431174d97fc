package org.marjoramsail.core.time;

import java.util.concurrent.atomic.AtomicLong;

/** A clock that moves only when told to, for tests, fuzzing and models. */
public final class ManualClock implements Clock {

  private final AtomicLong now;

  /** Starts at {@code startMillis}. */
  public ManualClock(long startMillis) {
    this.now = new AtomicLong(startMillis);
  }

  @Override
  public long millis() {
    return now.get();
  }

  /**
   * Moves the clock forward.
   *
   * @param millis how far, in milliseconds; zero or more
   * @return the new reading
   */
  public long advance(long millis) {
    if (millis < 0) {
      throw new IllegalArgumentException("A clock moves forward only, not by " + millis + " ms.");
    }
    return now.addAndGet(millis);
  }
}
