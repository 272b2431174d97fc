package org.marjoramsail.daemon.caller;

import java.util.Locale;

/** Phases in which the caller server stops. */
public enum StopPhase {
  /** Serves callers. */
  SERVING(true, true),
  /** Serves callers, and reports to the load balancer that it is not ready. */
  NOT_READY(false, true),
  /** Refuses new requests and finishes running ones. */
  FINISHING(false, false),
  /** Has closed all connections. */
  CLOSED(false, false);

  private final boolean ready;
  private final boolean accepting;

  StopPhase(boolean ready, boolean accepting) {
    this.ready = ready;
    this.accepting = accepting;
  }

  /** Returns whether the load balancer should send new requests. */
  public boolean isReady() {
    return ready;
  }

  /** Returns whether new requests are accepted. */
  public boolean isAccepting() {
    return accepting;
  }

  /** Returns the name of the phase in lower case with hyphens, as shown to operators. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
