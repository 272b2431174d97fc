package org.marjoramsail.daemon.request;

import java.util.Locale;

/** Why an answer was late; the first that holds. */
public enum LatencyViolation {
  /** The first piece, or the whole plain answer, came after its target. */
  FIRST_SIGN,
  /** A pause between two pieces was longer than the route allows. */
  PAUSE;

  /** The cause in lower case with hyphens, as counters and logs show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
