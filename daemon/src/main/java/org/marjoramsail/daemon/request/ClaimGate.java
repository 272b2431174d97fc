package org.marjoramsail.daemon.request;

import io.vertx.core.Future;
import org.marjoramsail.core.outcome.ClaimOutcome;

/** Records claims of keyed requests that may run only once, before they are sent. */
public interface ClaimGate {

  /** Records a claim, or says why the request must not be sent. */
  Future<ClaimDecision> claim(ClaimRequest request);

  /** Records how a claimed request ended; the implementation repeats until that is recorded. */
  void settle(ClaimRequest request, ClaimOutcome outcome);
}
