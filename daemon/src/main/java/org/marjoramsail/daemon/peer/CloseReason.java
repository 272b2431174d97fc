package org.marjoramsail.daemon.peer;

import java.util.Locale;

/** Reason for which a daemon closes a connection; each has a counter. */
public enum CloseReason {
  OTHER_PROTOCOL,
  OTHER_CLUSTER,
  WRONG_PROOF,
  OLD_INCARNATION,
  OWN_ADDRESS,
  TOO_MANY_CONNECTIONS,
  HANDSHAKE_TIMEOUT,
  UNEXPECTED_MESSAGE,
  MALFORMED_FRAME,
  STOPPING;

  /** Returns the reason in lower case with hyphens, as counters show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
