package org.marjoramsail.core.outcome;

import java.util.Locale;

/** Why something that came from outside was dropped; each has its counter. */
public enum DropReason {
  /** A frame of another request. */
  CROSSED_FRAME,
  /** A frame of an earlier attempt. */
  LATE_FRAME,
  /** A frame whose token the caller already has. */
  REPEATED_FRAME,
  /** An answer or failure of an earlier attempt, or in a state that does not wait for it. */
  LATE_EVENT,
  /** A grant that came after the request was withdrawn. */
  LATE_GRANT,
  /** A cancel that no upstream confirmed in time. */
  ABANDONED_CANCEL;

  /** The reason in lower case with hyphens, as counters see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
