package org.marjoramsail.core.placement;

/**
 * Token bucket whose credit may become negative: a cost is taken whole once there is any credit, so
 * that large costs pass.
 *
 * <p>After a change of owner the bucket starts empty. The limit applies across owners, and a new
 * owner does not have the count of the previous one: a full bucket would grant an additional burst
 * with each change of owner.
 */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** How many seconds of the rate may accumulate if no burst is given. */
  private static final double BURST_SECONDS = 1;

  /** Largest debt that limited charges may leave, in multiples of the maximum credit. */
  private static final double MAXIMUM_DEBT_BURSTS = 2;

  private double perSecond;
  private double burst;
  private double credit;
  private long filledAt;
  private boolean fillsOnFirstUse;

  private TokenBucket(boolean fillsOnFirstUse, long filledAt) {
    this.fillsOnFirstUse = fillsOnFirstUse;
    this.filledAt = filledAt;
  }

  /** Creates a bucket without a limit that is full when a limit is first used. */
  static TokenBucket full() {
    return new TokenBucket(true, 0);
  }

  /** Creates a bucket without a limit that was empty at the given time. */
  static TokenBucket emptyAt(long millis) {
    return new TokenBucket(false, millis);
  }

  /** Creates a bucket without a limit that had a credit at the given time. */
  static TokenBucket startingWith(double credit, long millis) {
    TokenBucket bucket = new TokenBucket(false, millis);
    bucket.credit = credit;
    return bucket;
  }

  /**
   * Sets the limit.
   *
   * @param newPerSecond the rate; not positive for no limit
   * @param newBurst the maximum credit; not positive for the credit of one second
   */
  void limit(double newPerSecond, double newBurst) {
    perSecond = newPerSecond;
    burst = newBurst > 0 ? newBurst : Math.max(1, newPerSecond * BURST_SECONDS);
  }

  boolean isOpen(long nowMillis) {
    return waitMillis(0, nowMillis) <= 0;
  }

  void take(double cost, long nowMillis) {
    if (perSecond > 0) {
      fill(nowMillis);
      credit -= cost;
    }
  }

  /** Returns a cost that was taken, up to the maximum credit. */
  void giveBack(double cost, long nowMillis) {
    if (perSecond > 0) {
      fill(nowMillis);
      credit = Math.min(burst, credit + cost);
    }
  }

  /** Takes a cost, but as much at most as leaves a debt of {@link #MAXIMUM_DEBT_BURSTS}. */
  void takeLeavingLimitedDebt(double cost, long nowMillis) {
    if (perSecond > 0) {
      fill(nowMillis);
      credit = Math.max(Math.min(credit, -MAXIMUM_DEBT_BURSTS * burst), credit - cost);
    }
  }

  /**
   * Returns how long until one more cost is admitted after those that wait; zero if it is admitted
   * now.
   */
  long waitMillis(double waitingCosts, long nowMillis) {
    if (perSecond <= 0) {
      return 0;
    }
    fill(nowMillis);
    double missing = waitingCosts - credit;
    return missing < 0 ? 0 : (long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND) + 1;
  }

  /** Returns the present credit; negative if more was taken than there was. */
  double credit(long nowMillis) {
    fill(nowMillis);
    return credit;
  }

  /** Returns the maximum credit. */
  double burst() {
    return burst;
  }

  /** Returns whether less than half of the maximum credit is left. */
  boolean isHalfUsed(long nowMillis) {
    return perSecond > 0 && credit(nowMillis) < burst / 2;
  }

  private void fill(long nowMillis) {
    double gained = (nowMillis - filledAt) / MILLIS_PER_SECOND * perSecond;
    if (fillsOnFirstUse) {
      gained = burst;
      fillsOnFirstUse = false;
    }
    filledAt = Math.max(filledAt, nowMillis);
    credit = Math.min(burst, credit + Math.max(0, gained));
  }
}
