package org.marjoramsail.core.placement;

import java.util.Locale;

/** Counters of a placer. */
public enum PlacementCounter {
  GRANTED,
  GRANTED_LOCAL_PREFILL,
  GRANTED_FOR_LIVE_KV,
  GRANT_REPEATED,
  REFUSED,
  RESTORED,
  PROMOTED,
  WAITING_LATE,
  LATE_PLACE_DROPPED,
  LATE_REPORT_DROPPED,
  LATE_RESTORE_DROPPED,
  /** A load that an upstream stated was invalid. */
  LOAD_IGNORED;

  /** Returns the counter's name in lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
