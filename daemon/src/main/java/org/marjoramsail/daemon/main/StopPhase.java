package org.marjoramsail.daemon.main;

import java.util.Locale;

/** What a stopping daemon does, in this order. */
public enum StopPhase {
  /** Answers that it is not ready and waits until the balancer sends nothing more. */
  NOT_READY,
  /** Takes no new request and lets those that run end. */
  DRAINING,
  /** Gives its shards to other daemons. */
  HANDING_OVER,
  /** Tells the other daemons that it leaves. */
  LEAVING,
  /** Closes its sockets. */
  CLOSING;

  /** The phase as logs name it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
