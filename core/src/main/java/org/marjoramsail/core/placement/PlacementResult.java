package org.marjoramsail.core.placement;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/** Decision of a placer on one attempt; the I/O layer sends it to the entry daemon. */
public sealed interface PlacementResult {

  /** Returns the daemon that holds the caller's connection. */
  DaemonId entry();

  /** Returns the request that the decision is about. */
  RequestId request();

  /**
   * Upstreams are reserved.
   *
   * @param entry the entry daemon to notify
   * @param grant the reservation
   */
  record Granted(DaemonId entry, Grant grant) implements PlacementResult {
    @Override
    public RequestId request() {
      return grant.request();
    }
  }

  /**
   * The attempt is refused and was not sent to any upstream.
   *
   * @param entry the entry daemon to notify
   * @param request the request
   * @param attempt the attempt
   * @param refusal the reason; its run state refers to this attempt only
   */
  record Refused(DaemonId entry, RequestId request, int attempt, Refusal refusal)
      implements PlacementResult {}
}
