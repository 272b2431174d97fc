package org.marjoramsail.core.membership;

import java.util.List;
import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * Request to ping a daemon that did not respond, so that the failure of one network path does not
 * cause a suspicion.
 *
 * @param sequence sequence number, repeated in the response
 * @param target the daemon to ping
 * @param updates disseminated updates on daemons
 */
public record PingRequestMessage(long sequence, DaemonId target, List<MemberUpdate> updates)
    implements PeerMessage {

  /** Copies the list to make the record immutable. */
  public PingRequestMessage {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(target.host(), "host");
    updates = List.copyOf(updates);
  }
}
