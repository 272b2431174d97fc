package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Ping that requests a response, to check whether the receiver is alive.
 *
 * @param sequence sequence number, repeated in the response
 * @param updates disseminated updates on daemons
 * @param configurationVersion version of the configuration that the sender has; zero if it has none
 */
public record PingMessage(long sequence, List<MemberUpdate> updates, long configurationVersion)
    implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public PingMessage {
    updates = List.copyOf(updates);
  }

  /** Creates a message of a daemon without a configuration. */
  public PingMessage(long sequence, List<MemberUpdate> updates) {
    this(sequence, updates, 0);
  }

  /** Returns the same message with the version of the configuration that the sender has. */
  public PingMessage withConfigurationVersion(long version) {
    return new PingMessage(sequence, updates, version);
  }
}
