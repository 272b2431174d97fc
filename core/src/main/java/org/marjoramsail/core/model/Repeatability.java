package org.marjoramsail.core.model;

/** Whether a request may run more than once. */
public enum Repeatability {
  /** Running it again changes nothing: a lookup, a generation. */
  IDEMPOTENT(true, true),
  /** May run again, but each run costs: a summary. */
  REPEATABLE(true, false),
  /** Runs at most once: a ballot, a filing receipt. */
  AT_MOST_ONCE(false, false);

  private final boolean resendable;
  private final boolean hedgeable;

  Repeatability(boolean resendable, boolean hedgeable) {
    this.resendable = resendable;
    this.hedgeable = hedgeable;
  }

  /** Whether it may be sent again after an earlier send whose effect is not known. */
  public boolean isResendable() {
    return resendable;
  }

  /** Whether it may be sent to two upstreams at once. */
  public boolean isHedgeable() {
    return hedgeable;
  }
}
