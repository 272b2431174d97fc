package org.marjoramsail.core.claim;

/** What is recorded of a claimed request. */
public enum ClaimState {
  /** It may be running. */
  CLAIMED,
  /** It ran, and its caller got an answer. */
  COMPLETED,
  /** It is proven that it did not run; the key can be claimed again. */
  NOT_RUN,
  /** It may have run. */
  UNKNOWN
}
