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
   * @param first how many there are at the start
   */
  public RetryBudget(double share, double reserve, double first) {
    this.share = share;
    this.reserve = reserve;
    this.tokens = Math.min(reserve, first);
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
