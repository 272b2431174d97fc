package org.marjoramsail.core.outcome;

/** How a claimed request ended, for those who send it again with the same key. */
public enum ClaimOutcome {
  /** Its answer was received whole. */
  COMPLETED,
  /** It was not run, so that a repeat may run it. */
  NOT_RUN,
  /** It may have run, so that a repeat must not run it. */
  UNKNOWN
}
