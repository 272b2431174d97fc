package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Asks whether a daemon answers.
 *
 * @param sequence stands in the answer
 * @param updates news of daemons
 */
public record PingMessage(long sequence, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public PingMessage {
    updates = List.copyOf(updates);
  }
}
