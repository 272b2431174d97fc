package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Response to a ping, or to a request to ping another daemon after that one has responded.
 *
 * @param sequence the sequence number of the ping or the request
 * @param updates disseminated updates on daemons
 */
public record AckMessage(long sequence, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public AckMessage {
    updates = List.copyOf(updates);
  }
}
