package org.marjoramsail.core.feedback;

/**
 * Position of one owner in the sequence of loads that a host has received, up to which they have
 * been relayed to it.
 *
 * <p>Used by the table under its lock, and otherwise by one thread at a time.
 */
public final class LoadPosition {

  private long number;
  private long advancedAtMillis;

  /** Creates the position of an owner to which no load has been relayed. */
  public LoadPosition() {}

  /** Returns the number of the latest load that needs no relay; loads are numbered from one. */
  long number() {
    return number;
  }

  void advance(long newNumber, long nowMillis) {
    number = newNumber;
    advancedAtMillis = nowMillis;
  }

  /** Returns the time at which feedback was last relayed. */
  public long advancedAtMillis() {
    return advancedAtMillis;
  }

  /** Returns whether no load has been received yet. */
  public boolean isInitial() {
    return number == 0;
  }
}
