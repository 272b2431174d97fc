package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Response to a ping, or to a request to ping another daemon after that one has responded.
 *
 * @param sequence the sequence number of the ping or the request
 * @param updates disseminated updates on daemons
 * @param configurationVersion version of the configuration that the sender has; zero if it has none
 */
public record AckMessage(long sequence, List<MemberUpdate> updates, long configurationVersion)
    implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public AckMessage {
    updates = List.copyOf(updates);
  }

  /** Creates a message of a daemon without a configuration. */
  public AckMessage(long sequence, List<MemberUpdate> updates) {
    this(sequence, updates, 0);
  }

  /** Returns the same message with the version of the configuration that the sender has. */
  public AckMessage withConfigurationVersion(long version) {
    return new AckMessage(sequence, updates, version);
  }
}
