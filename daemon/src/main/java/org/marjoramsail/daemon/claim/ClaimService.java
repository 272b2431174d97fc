package org.marjoramsail.daemon.claim;

import io.vertx.core.Future;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;

/** Ensures that a request with an idempotency key runs at most once across all daemons. */
public interface ClaimService {

  /**
   * Claims a request, before this daemon sends it to an upstream.
   *
   * @return a future that never fails; only the result {@code GRANTED} allows the request to be
   *     sent
   */
  Future<ClaimResult> claim(ClaimRequest request);

  /**
   * Sends the outcome of a request whose claim was granted to this daemon; does nothing for other
   * requests. Without it, the outcome of the request stays unknown to repeated requests.
   *
   * @return a future that completes when the outcome has been sent; it is stored later, or lost if
   *     a daemon fails before that
   */
  Future<Void> settle(ClaimKey key, ClaimOutcome outcome);
}
