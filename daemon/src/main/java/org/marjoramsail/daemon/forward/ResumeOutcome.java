package org.marjoramsail.daemon.forward;

import java.util.Locale;

/** How the origin of a resumed stream was found, or why it was not. */
enum ResumeOutcome {
  /** A daemon has recorded it. */
  RECORDED,
  /** No daemon has recorded it, and only one software version can have begun the stream. */
  ONLY_VERSION,
  /** No daemon has recorded it, and several versions can have begun the stream. */
  UNKNOWN,
  /** The caller has used its identifier for streams of different origins. */
  AMBIGUOUS,
  /** The caller names no attempt, and several versions can have begun the stream. */
  UNNAMED;

  /** Returns the outcome in lower case with hyphens, as counters and logs show it. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
