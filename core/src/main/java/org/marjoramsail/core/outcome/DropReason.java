package org.marjoramsail.core.outcome;

import java.util.Locale;

/** Reason for which an event or a cancel was dropped; each has a counter. */
public enum DropReason {
  /** A frame belongs to another request. */
  CROSSED_FRAME,
  /** A frame belongs to an earlier attempt. */
  LATE_FRAME,
  /** A frame has a token that the caller was already sent. */
  REPEATED_FRAME,
  /** A response or failure belongs to an earlier attempt, or the state does not expect it. */
  LATE_EVENT,
  /** A grant came after the request was withdrawn. */
  LATE_GRANT,
  /** No upstream confirmed a cancel before its deadline. */
  ABANDONED_CANCEL;

  /** Returns the reason in lower case with hyphens, as counters show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
