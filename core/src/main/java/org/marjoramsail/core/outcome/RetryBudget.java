package org.marjoramsail.core.outcome;

/**
 * Limits the retries of one service to a share of its requests.
 *
 * <p>Guards against overload from retries: in an outage every request would be sent several times,
 * and upstreams that recover would fail again. Each first send adds a tenth of a retry, up to a
 * fixed reserve. Safe for several threads.
 */
public final class RetryBudget {

  /** Retries that each first send adds. */
  public static final double SHARE = 0.1;

  /**
   * Part of a fleet's slack that its daemons use; the rest covers differences in how and where
   * requests are counted.
   */
  private static final double USABLE_SLACK_SHARE = 0.5;

  /**
   * Part of the allowed ratio that is used; the rest covers differences in how requests are
   * counted.
   */
  private static final double USABLE_RATIO_SHARE = 0.8;

  /** Smallest number of daemons by which the slack is divided, in case only few are found yet. */
  private static final int MINIMUM_DAEMONS = 6;

  private final double share;
  private final double reserve;
  private double tokens;

  /**
   * Creates a budget with a full reserve.
   *
   * @param reserve maximum number of retries that are saved up; enough for those of one upstream's
   *     attempts
   */
  public RetryBudget(int reserve) {
    this(SHARE, reserve, reserve);
  }

  /**
   * Creates a budget with an initial number of retries.
   *
   * <p>Guards against restarts that renew the whole reserve of each daemon, so that a fleet exceeds
   * its retries.
   *
   * @param share retries that each first send adds
   * @param reserve maximum number of retries that are saved up
   * @param initial number of retries at the start
   */
  public RetryBudget(double share, double reserve, double initial) {
    this.share = share;
    this.reserve = reserve;
    this.tokens = Math.min(reserve, initial);
  }

  /**
   * Returns one daemon's share of a fleet's retries, for use without coordination.
   *
   * @param ratio retries that the fleet may make for each request
   * @param slack retries that the fleet may make in addition
   * @param daemons number of daemons
   */
  public static RetryBudget shareOfFleet(double ratio, double slack, int daemons) {
    double reserve = slack * USABLE_SLACK_SHARE / Math.max(MINIMUM_DAEMONS, daemons);
    return new RetryBudget(ratio * USABLE_RATIO_SHARE, reserve, reserve / 2);
  }

  /** Records a first send, which adds to the budget. */
  public synchronized void earn() {
    tokens = Math.min(reserve, tokens + share);
  }

  /** Uses one retry if one is available. */
  public synchronized boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** Returns the number of retries that are available. */
  public synchronized int available() {
    return (int) tokens;
  }
}
