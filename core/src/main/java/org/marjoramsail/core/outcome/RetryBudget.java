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

  private final double reserve;
  private double tokens;

  /**
   * Starts full.
   *
   * @param reserve how many retries may be saved up; enough for those that one upstream holds
   */
  public RetryBudget(int reserve) {
    this.reserve = reserve;
    this.tokens = reserve;
  }

  /** Earns for a first send. */
  public synchronized void earn() {
    tokens = Math.min(reserve, tokens + SHARE);
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
