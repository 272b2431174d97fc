package org.marjoramsail.core.placement;

/** How an attempt ended, as far as placement has to know. */
public enum AttemptResult {
  COMPLETED(false),
  CANCELLED(false),
  /** The upstream said that it took no new work. */
  REFUSED(true),
  /** The upstream had no room just then; nothing is wrong with it. */
  FULL(false),
  CONNECT_FAILED(true),
  /** The upstream failed or the connection was cut after the send. */
  FAILED(true),
  TIMED_OUT(true),
  /** The KV cache was gone before the decode upstream had imported it. */
  KV_LOST(false);

  private final boolean upstreamFault;

  AttemptResult(boolean upstreamFault) {
    this.upstreamFault = upstreamFault;
  }

  /** Whether it counts against the upstream. */
  public boolean isUpstreamFault() {
    return upstreamFault;
  }
}
