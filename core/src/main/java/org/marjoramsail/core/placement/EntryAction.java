package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/** An action that the I/O layer of an entry daemon carries out for {@link EntryPlacement}. */
public sealed interface EntryAction {

  /**
   * Sends a message to the owner of a shard, which may be the daemon itself.
   *
   * @param to the owner
   * @param message the message
   */
  record Send(DaemonId to, PlacementMessage message) implements EntryAction {}

  /**
   * Passes the result of placement to the request.
   *
   * @param request the request
   * @param result the grant or the refusal
   */
  record Complete(RequestId request, PlacementResult result) implements EntryAction {}
}
