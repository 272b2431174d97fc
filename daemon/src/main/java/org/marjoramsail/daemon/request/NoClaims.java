package org.marjoramsail.daemon.request;

import io.vertx.core.Future;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.outcome.ClaimOutcome;

/** Claim gate of a daemon without a store; refuses each request that requires a claim. */
public final class NoClaims implements ClaimGate {

  @Override
  public Future<ClaimDecision> claim(ClaimRequest request) {
    return Future.succeededFuture(
        new ClaimDecision.Refused(
            Refusal.notRun(
                RefusalReason.STORE_UNAVAILABLE,
                "The claim of idempotency key \""
                    + request.key()
                    + "\" cannot be recorded: this daemon has no store.")));
  }

  @Override
  public void settle(ClaimRequest request, ClaimOutcome outcome) {}
}
