package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;

/** What became of a claim. */
public sealed interface ClaimDecision {

  /** It is recorded, or the rule lets the request run without; the request may be sent. */
  record Claimed() implements ClaimDecision {}

  /**
   * The request must not be sent.
   *
   * @param refusal what the caller is told, with what is known of the run that has the claim
   */
  record Refused(Refusal refusal) implements ClaimDecision {}
}
