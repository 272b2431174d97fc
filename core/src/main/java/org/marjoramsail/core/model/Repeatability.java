package org.marjoramsail.core.model;

/** Classification of requests by whether they may run more than once. */
public enum Repeatability {
  /** Repeated runs have no further effect, such as a lookup or a generation. */
  IDEMPOTENT(true, true),
  /** May run again, but each run has a cost, such as a summary. */
  REPEATABLE(true, false),
  /** Must run at most once, such as a ballot or a filing receipt. */
  AT_MOST_ONCE(false, false);

  private final boolean resendable;
  private final boolean hedgeable;

  Repeatability(boolean resendable, boolean hedgeable) {
    this.resendable = resendable;
    this.hedgeable = hedgeable;
  }

  /**
   * Returns whether the request may be sent again when the effect of an earlier send is not known.
   */
  public boolean isResendable() {
    return resendable;
  }

  /** Returns whether the request may be sent to two upstreams concurrently. */
  public boolean isHedgeable() {
    return hedgeable;
  }
}
