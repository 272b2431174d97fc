package org.marjoramsail.core.model;

/** Classification of requests by whether they may run more than once. */
public enum Repeatability {
  /** Repeated runs have no further effect, such as a lookup or a generation. */
  IDEMPOTENT(true),
  /** May run again, but each run has a cost, such as a summary. */
  REPEATABLE(true),
  /** Must run at most once, such as a ballot or a filing receipt. */
  AT_MOST_ONCE(false);

  private final boolean resendable;

  Repeatability(boolean resendable) {
    this.resendable = resendable;
  }

  /**
   * Returns whether the request may be sent again when the effect of an earlier send is not known.
   */
  public boolean isResendable() {
    return resendable;
  }
}
