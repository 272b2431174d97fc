package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Ping that requests a response, to check whether the receiver is alive.
 *
 * @param sequence sequence number, repeated in the response
 * @param updates disseminated updates on daemons
 */
public record PingMessage(long sequence, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public PingMessage {
    updates = List.copyOf(updates);
  }
}
