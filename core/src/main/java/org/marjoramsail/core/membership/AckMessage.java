package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Answers a ping, or a request to ping another daemon once that one has answered.
 *
 * @param sequence that of the ping or the request
 * @param updates news of daemons
 */
public record AckMessage(long sequence, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public AckMessage {
    updates = List.copyOf(updates);
  }
}
