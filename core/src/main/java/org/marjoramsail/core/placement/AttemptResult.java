package org.marjoramsail.core.placement;

/** Result of an attempt, in the detail that placement requires. */
public enum AttemptResult {
  COMPLETED(false),
  CANCELLED(false),
  /** The upstream responded that it accepts no new work. */
  REFUSED(true),
  /** The upstream had no free capacity at that moment, which is not a fault. */
  FULL(false),
  CONNECT_FAILED(true),
  /** The upstream failed or the connection was cut after the request was sent. */
  FAILED(true),
  TIMED_OUT(true),
  /** The KV cache was removed before the decode upstream had imported it. */
  KV_LOST(false);

  private final boolean upstreamFault;

  AttemptResult(boolean upstreamFault) {
    this.upstreamFault = upstreamFault;
  }

  /** Returns whether the result counts against the upstream. */
  public boolean isUpstreamFault() {
    return upstreamFault;
  }
}
