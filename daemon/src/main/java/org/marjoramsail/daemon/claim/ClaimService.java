package org.marjoramsail.daemon.claim;

import io.vertx.core.Future;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;

/** Lets a request with an idempotency key run at most once in the whole fleet. */
public interface ClaimService {

  /**
   * Records that this daemon is about to run a request.
   *
   * @return the result, which never fails; only {@code GRANTED} allows the request to be sent
   */
  Future<ClaimResult> claim(ClaimRequest request);

  /**
   * Records how a request that was granted here ended; does nothing for others. Without it a repeat
   * is told that the end is unknown.
   *
   * @return done when the outcome was handed on; it is recorded a little later, or is lost
   */
  Future<Void> settle(ClaimKey key, ClaimOutcome outcome);
}
