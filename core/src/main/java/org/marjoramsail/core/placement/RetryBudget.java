package org.marjoramsail.core.placement;

/**
 * Limits the retries that the owner of a shard grants, by the requests that started and the retries
 * that it granted itself within the last window.
 *
 * <p>Guards against overload from retries: in an outage every request would be sent several times,
 * and upstreams that recover would fail again. The limit holds for the whole fleet:
 *
 * <ul>
 *   <li>A part of the retries is proportional to the requests. Each request counts at one owner:
 *       the one to which its entry daemon first reports on it. So the parts of all owners of a
 *       shard add up, however many there are and however often they change or restart. Several
 *       owners may grant the same attempt while it moves, and the entry daemon uses one grant.
 *   <li>The slack is fixed for the fleet. Only a daemon that has ranked first for the shard during
 *       a whole window, and knows the size of the fleet, uses it. So a predecessor's use is no
 *       longer in the same window, and parts of a divided fleet use no more than one slack.
 * </ul>
 *
 * <p>Not thread-safe; the I/O layer calls it under the lock of the shard.
 */
public final class RetryBudget {

  /**
   * Used part of the ratio. The rest covers requests that are granted in a later window than the
   * one in which callers sent them, and those that two owners grant while the owner changes.
   */
  private static final double USED_RATIO_PART = 0.8;

  /** Used part of the slack. The two sides of a network partition may both use theirs. */
  private static final double USED_SLACK_PART = 0.5;

  private static final long NEVER = Long.MAX_VALUE;

  private final RetryLimits limits;
  private final WindowCount requests;
  private final WindowCount retries;
  private int reserved;
  private int granted;
  private int refused;
  private double slackShare;
  private long slackFromMillis = NEVER;

  /** Creates the budget of an owner that has granted nothing and does not use the slack. */
  public RetryBudget(RetryLimits limits) {
    this.limits = limits;
    this.requests = new WindowCount(limits.windowMillis());
    this.retries = new WindowCount(limits.windowMillis());
  }

  /**
   * Sets the share of the slack that is used once this daemon has ranked first for a whole window.
   *
   * @param share share of the fleet's slack; zero while this daemon does not rank first
   */
  public void slackShare(double share, long nowMillis) {
    if (share <= 0) {
      slackFromMillis = NEVER;
    } else if (slackFromMillis == NEVER) {
      slackFromMillis = nowMillis + limits.windowMillis();
    }
    slackShare = share;
  }

  /** Returns the share of the slack, whether it is used yet or not. */
  public double slackShare() {
    return slackShare;
  }

  /** Counts a request whose first attempt was granted and used. */
  void requestStarted(long nowMillis) {
    requests.add(1, nowMillis);
  }

  /**
   * Reserves retries for an attempt that is about to be placed.
   *
   * @param count the most calls that it may repeat; zero always succeeds
   * @return false if fewer are available
   */
  boolean tryReserve(int count, long nowMillis) {
    if (count > 0 && available(nowMillis) < count) {
      refused++;
      return false;
    }
    reserved += count;
    return true;
  }

  /** Gives back the retries that were reserved for an attempt. */
  void release(int count) {
    reserved -= count;
  }

  /** Counts the retries that a granted attempt makes. */
  void retriesGranted(int count, long nowMillis) {
    granted += count;
    retries.add(count, nowMillis);
  }

  /**
   * Counts the retries of an attempt that another owner granted, perhaps within the same window.
   */
  void retriesRestored(int count, long nowMillis) {
    retries.add(count, nowMillis);
  }

  /**
   * Returns the retries of a granted attempt of which no call was sent.
   *
   * @param count the retries
   * @param countedAtMillis when they were counted
   */
  void retriesReturned(int count, long countedAtMillis, long nowMillis) {
    retries.remove(count, countedAtMillis, nowMillis);
  }

  /** Returns the number of retries that are available. */
  public int available(long nowMillis) {
    double allowed =
        USED_RATIO_PART * limits.ratio() * requests.completeSum(nowMillis) + slack(nowMillis);
    return (int) Math.floor(allowed) - (int) retries.sum(nowMillis) - reserved;
  }

  /** Returns the number of retries that were granted since the last call. */
  public int takeGranted() {
    int taken = granted;
    granted = 0;
    return taken;
  }

  /** Returns the number of attempts that were refused since the last call. */
  public int takeRefused() {
    int taken = refused;
    refused = 0;
    return taken;
  }

  /** Describes the counts that decide. */
  public String describe(long nowMillis) {
    return "requests "
        + requests.completeSum(nowMillis)
        + ", retries "
        + retries.sum(nowMillis)
        + " in "
        + limits.windowMillis()
        + " ms, slack "
        + Math.round(slack(nowMillis));
  }

  private double slack(long nowMillis) {
    return nowMillis >= slackFromMillis ? USED_SLACK_PART * limits.slack() * slackShare : 0;
  }
}
