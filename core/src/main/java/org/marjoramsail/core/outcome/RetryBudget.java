package org.marjoramsail.core.outcome;

/**
 * Limits the retries of one service to a share of its first sends.
 *
 * <p>Guards against the failure in which an outage makes every request come several times, so that
 * upstreams that come back are pushed over again: each first send earns a tenth of a retry, so that
 * retries beyond the fixed reserve never exceed a tenth of the load. Safe for several threads.
 */
public final class RetryBudget {

  /** The share of first sends that may be repeated. */
  public static final double SHARE = 0.1;

  /**
   * The part of a shared slack that daemons hand out between them: windows of those who count are
   * not those of daemons, and requests that a daemon forwards are counted where they arrive.
   */
  private static final double USABLE_SLACK_SHARE = 0.5;

  /** The part of an allowed ratio that is used, for what is counted otherwise. */
  private static final double USABLE_RATIO_SHARE = 0.8;

  /** At least so many daemons share the slack, also while fewer are known. */
  private static final int MINIMUM_DAEMONS = 6;

  private final double share;
  private final double reserve;
  private double tokens;

  /**
   * Starts full.
   *
   * @param reserve how many retries may be saved up; enough for those that one upstream holds
   */
  public RetryBudget(int reserve) {
    this(SHARE, reserve, reserve);
  }

  /**
   * Starts with less than a full reserve.
   *
   * <p>Guards against the failure in which a daemon that was restarted forgets what it had spent,
   * so that restarts in series hand out the reserve of a whole fleet several times over.
   *
   * @param share how much of a retry each first send earns
   * @param reserve how many retries may be saved up
   * @param initial how many there are at the start
   */
  public RetryBudget(double share, double reserve, double initial) {
    this.share = share;
    this.reserve = reserve;
    this.tokens = Math.min(reserve, initial);
  }

  /**
   * The part of a fleet's retries that one daemon may use without asking any other.
   *
   * @param ratio how many retries the fleet may make for each request
   * @param slack how many it may make beside these
   * @param daemons how many daemons there are
   */
  public static RetryBudget shareOfFleet(double ratio, double slack, int daemons) {
    double reserve = slack * USABLE_SLACK_SHARE / Math.max(MINIMUM_DAEMONS, daemons);
    return new RetryBudget(ratio * USABLE_RATIO_SHARE, reserve, reserve / 2);
  }

  /** Earns for a first send. */
  public synchronized void earn() {
    tokens = Math.min(reserve, tokens + share);
  }

  /** Spends one retry, if there is one. */
  public synchronized boolean trySpend() {
    if (tokens < 1) {
      return false;
    }
    tokens -= 1;
    return true;
  }

  /** How many retries may be made now. */
  public synchronized int available() {
    return (int) tokens;
  }
}
