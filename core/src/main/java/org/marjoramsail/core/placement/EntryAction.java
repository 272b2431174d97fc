package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/** What the shell of an entry daemon has to do for {@link EntryPlacement}. */
public sealed interface EntryAction {

  /**
   * Send a message to the owner of a shard, which may be the daemon itself.
   *
   * @param to the owner
   * @param message what to send
   */
  record Send(DaemonId to, PlacementMessage message) implements EntryAction {}

  /**
   * Answer the request that asked for a place.
   *
   * @param request the request
   * @param result the grant or the refusal
   */
  record Complete(RequestId request, PlacementResult result) implements EntryAction {}
}
