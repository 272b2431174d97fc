package org.marjoramsail.core.placement;

/** Limits a rate; a cost is taken whole once there is any credit, so that large ones pass. */
final class TokenBucket {

  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double BURST_SECONDS = 1;

  private double perSecond;
  private double credit;
  private long filledAt;
  private boolean fresh = true;

  /** Sets the rate; not positive means no limit. */
  void rate(double newPerSecond) {
    perSecond = newPerSecond;
  }

  boolean isOpen(long nowMillis) {
    if (perSecond <= 0) {
      return true;
    }
    fill(nowMillis);
    return credit > 0;
  }

  void take(double cost, long nowMillis) {
    if (perSecond > 0) {
      fill(nowMillis);
      credit -= cost;
    }
  }

  /** How long until it is open; zero when it is. */
  long waitMillis(long nowMillis) {
    return isOpen(nowMillis) ? 0 : (long) Math.ceil(-credit / perSecond * MILLIS_PER_SECOND) + 1;
  }

  private void fill(long nowMillis) {
    double most = Math.max(1, perSecond * BURST_SECONDS);
    double gained = fresh ? most : (nowMillis - filledAt) / MILLIS_PER_SECOND * perSecond;
    fresh = false;
    filledAt = nowMillis;
    credit = Math.min(most, credit + Math.max(0, gained));
  }
}
