package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;

/** Result of an attempt to record a claim. */
public sealed interface ClaimDecision {

  /** The request may be sent: its claim is recorded, or its rule allows to run without one. */
  record Claimed() implements ClaimDecision {}

  /**
   * The request must not be sent.
   *
   * @param refusal the response to the caller, with the run state of the request that holds the
   *     claim
   */
  record Refused(Refusal refusal) implements ClaimDecision {}
}
