package org.marjoramsail.core.claim;

/** Recorded state of a claimed request. */
public enum ClaimState {
  /** The request may be running. */
  CLAIMED,
  /** The request ran and its caller got a response. */
  COMPLETED,
  /** The request certainly did not run; the key can be claimed again. */
  NOT_RUN,
  /** The request may have run. */
  UNKNOWN
}
