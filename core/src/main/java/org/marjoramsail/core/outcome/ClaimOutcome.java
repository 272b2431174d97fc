package org.marjoramsail.core.outcome;

/** Recorded end of a claimed request, for repeats with the same key. */
public enum ClaimOutcome {
  /** The response was received completely. */
  COMPLETED,
  /** The request was not run, so that a repeat may run it. */
  NOT_RUN,
  /** The request may have run, so that a repeat must not run it. */
  UNKNOWN
}
