package org.marjoramsail.daemon.request;

import io.vertx.core.Future;
import org.marjoramsail.core.outcome.ClaimOutcome;

/**
 * Records claims on idempotency keys, for requests that may run only once, before they are sent.
 */
public interface ClaimGate {

  /** Records a claim; the result is a refusal if the request must not be sent. */
  Future<ClaimDecision> claim(ClaimRequest request);

  /** Records the outcome of a claimed request; the implementation retries until it is stored. */
  void settle(ClaimRequest request, ClaimOutcome outcome);
}
