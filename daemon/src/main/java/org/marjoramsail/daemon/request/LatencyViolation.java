package org.marjoramsail.daemon.request;

import java.util.Locale;

/** The first latency target that a request missed. */
public enum LatencyViolation {
  /** The first chunk, or the whole plain response, arrived after its target. */
  FIRST_SIGN,
  /** An inter-chunk gap was longer than the route allows. */
  PAUSE;

  /** Returns the name in lower case with hyphens, as metrics and logs show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
