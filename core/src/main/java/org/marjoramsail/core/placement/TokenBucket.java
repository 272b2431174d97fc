package org.marjoramsail.core.placement;

/**
 * Limits a rate; a cost is taken whole once there is any credit, so that large ones pass.
 *
 * <p>Where another owner came before, it begins empty. The limit holds over all owners, and a new
 * one does not know what the one before it let through: a full bucket would grant the burst once
 * more with each change of owner.
 */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** How long a rate may be saved up where no burst is stated, in seconds. */
  private static final double BURST_SECONDS = 1;

  private double perSecond;
  private double burst;
  private double credit;
  private long filledAt;
  private boolean fillsOnFirstUse;

  private TokenBucket(boolean fillsOnFirstUse, long filledAt) {
    this.fillsOnFirstUse = fillsOnFirstUse;
    this.filledAt = filledAt;
  }

  /** Creates a bucket without a limit, which is full when it gets one. */
  static TokenBucket full() {
    return new TokenBucket(true, 0);
  }

  /** Creates a bucket without a limit, which was empty at some time. */
  static TokenBucket emptyAt(long millis) {
    return new TokenBucket(false, millis);
  }

  /**
   * Sets the limit.
   *
   * @param newPerSecond the rate; not positive means no limit
   * @param newBurst how much may be saved up; not positive for what the rate gives in a second
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

  /** How long until it is open to one more cost behind those that wait; zero when it is. */
  long waitMillis(double waitingCosts, long nowMillis) {
    if (perSecond <= 0) {
      return 0;
    }
    fill(nowMillis);
    double missing = waitingCosts - credit;
    return missing < 0 ? 0 : (long) Math.ceil(missing / perSecond * MILLIS_PER_SECOND) + 1;
  }

  /** What could be taken now; negative where more was taken than there was. */
  double credit(long nowMillis) {
    fill(nowMillis);
    return credit;
  }

  /** How much may be saved up. */
  double burst() {
    return burst;
  }

  /** Whether less than half of what may be saved up is left. */
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
