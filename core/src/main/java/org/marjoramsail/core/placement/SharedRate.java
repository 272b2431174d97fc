package org.marjoramsail.core.placement;

/**
 * Rate limit that the owners of several shards use together.
 *
 * <p>Each owner knows the credit of the fleet only up to the last messages of the others. If every
 * owner used all of it, they would overspend by up to their number between two messages, and all
 * would have to stop until the debt is earned back. So while less than half of the credit is left,
 * an owner also keeps to its own part of the rate, which corresponds to its part of the demand.
 */
final class SharedRate {

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Time in which owners use up a credit of the fleet or earn back a debt, in seconds. */
  private static final double CORRECTION_SECONDS = 1;

  /** Part of the burst by which the fleet may be in debt while owners keep to their parts. */
  private static final double MAXIMUM_DEBT_PART = 0.5;

  private final TokenBucket fleet;
  private double perSecond;
  private double part = 1;
  private double ownCredit;
  private long ownFilledAt;
  private boolean isOwnCreditSet;

  /** Creates a rate without a limit, whose credit of the fleet is in a bucket. */
  SharedRate(TokenBucket fleet) {
    this.fleet = fleet;
  }

  /** Sets the limit; see {@link TokenBucket#limit}. */
  void limit(double newPerSecond, double newBurst) {
    perSecond = newPerSecond;
    fleet.limit(newPerSecond, newBurst);
  }

  /** Sets this owner's part of the demand, from more than 0 to 1. */
  void part(double newPart, long nowMillis) {
    fillOwn(nowMillis);
    part = newPart;
  }

  boolean isOpen(long nowMillis) {
    return waitMillis(0, nowMillis) <= 0;
  }

  /** Takes a cost that this owner grants. */
  void take(double cost, long nowMillis) {
    if (perSecond > 0) {
      fillOwn(nowMillis);
      fleet.take(cost, nowMillis);
      ownCredit = Math.max(Math.min(ownCredit, -ownBurst()), ownCredit - cost);
    }
  }

  /** Returns a cost that this owner has taken, up to the maximum credit. */
  void giveBack(double cost, long nowMillis) {
    if (perSecond > 0) {
      fillOwn(nowMillis);
      fleet.giveBack(cost, nowMillis);
      ownCredit = Math.min(ownBurst(), ownCredit + cost);
    }
  }

  /** Takes a cost that other owners have granted. */
  void takeElsewhere(double cost, long nowMillis) {
    fillOwn(nowMillis);
    fleet.take(cost, nowMillis);
  }

  /** Takes a cost that others have granted, and leaves a limited debt. */
  void takeElsewhereLeavingLimitedDebt(double cost, long nowMillis) {
    fillOwn(nowMillis);
    fleet.takeLeavingLimitedDebt(cost, nowMillis);
  }

  /** Returns how long until one more cost is admitted after those that wait; zero for now. */
  long waitMillis(double waitingCosts, long nowMillis) {
    if (perSecond <= 0) {
      return 0;
    }
    if (part >= 1 || !fleet.isHalfUsed(nowMillis)) {
      return fleet.waitMillis(waitingCosts, nowMillis);
    }
    fillOwn(nowMillis);
    long fleetMillis = fleet.waitMillis(-MAXIMUM_DEBT_PART * fleet.burst(), nowMillis);
    double missing = waitingCosts - ownCredit;
    long ownMillis =
        missing < 0 ? 0 : (long) Math.ceil(missing / (part * perSecond) * MILLIS_PER_SECOND) + 1;
    return Math.max(fleetMillis, ownMillis);
  }

  /** Returns the present credit of the fleet; negative if more was taken than there was. */
  double credit(long nowMillis) {
    return fleet.credit(nowMillis);
  }

  /** Returns the maximum credit of the fleet. */
  double burst() {
    return fleet.burst();
  }

  /** Returns whether less than half of the maximum credit of the fleet is left. */
  boolean isHalfUsed(long nowMillis) {
    return fleet.isHalfUsed(nowMillis);
  }

  private double ownBurst() {
    return part * fleet.burst();
  }

  private void fillOwn(long nowMillis) {
    double fleetCredit = fleet.credit(nowMillis);
    if (!isOwnCreditSet) {
      isOwnCreditSet = true;
      ownCredit = fleetCredit;
      ownFilledAt = nowMillis;
    }
    double seconds = Math.max(0, nowMillis - ownFilledAt) / MILLIS_PER_SECOND;
    double earned = part * Math.max(0, perSecond + fleetCredit / CORRECTION_SECONDS) * seconds;
    ownCredit = Math.min(ownBurst(), ownCredit + earned);
    ownFilledAt = Math.max(ownFilledAt, nowMillis);
  }
}
