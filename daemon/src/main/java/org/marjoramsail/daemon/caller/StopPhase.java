package org.marjoramsail.daemon.caller;

import java.util.Locale;

/** How far the caller side has stopped. */
public enum StopPhase {
  /** Serves callers. */
  SERVING(true, true),
  /** Serves callers, and tells the balancer to send no more. */
  NOT_READY(false, true),
  /** Refuses new requests and finishes those that run. */
  FINISHING(false, false),
  /** Has closed all connections. */
  CLOSED(false, false);

  private final boolean ready;
  private final boolean accepting;

  StopPhase(boolean ready, boolean accepting) {
    this.ready = ready;
    this.accepting = accepting;
  }

  /** Whether the balancer should send new callers. */
  public boolean isReady() {
    return ready;
  }

  /** Whether new requests are taken in. */
  public boolean isAccepting() {
    return accepting;
  }

  /** The phase in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
