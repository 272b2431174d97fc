package org.marjoramsail.core.placement;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/** What a placer decided of one attempt; the shell sends it to the entry daemon. */
public sealed interface PlacementResult {

  /** The daemon that holds the caller's connection. */
  DaemonId entry();

  /** The request that it is about. */
  RequestId request();

  /**
   * Upstreams are reserved.
   *
   * @param entry whom to tell
   * @param grant what is reserved
   */
  record Granted(DaemonId entry, Grant grant) implements PlacementResult {
    @Override
    public RequestId request() {
      return grant.request();
    }
  }

  /**
   * The attempt gets no upstreams and was not sent to any.
   *
   * @param entry whom to tell
   * @param request the request
   * @param attempt the attempt
   * @param refusal why; its run state speaks of this attempt only
   */
  record Refused(DaemonId entry, RequestId request, int attempt, Refusal refusal)
      implements PlacementResult {}
}
