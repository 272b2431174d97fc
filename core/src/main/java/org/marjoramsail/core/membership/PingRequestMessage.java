package org.marjoramsail.core.membership;

import java.util.List;
import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/**
 * Asks a third daemon to ping one that did not answer, so that one bad path is no death.
 *
 * @param sequence stands in the answer
 * @param target whom to ping
 * @param updates news of daemons
 */
public record PingRequestMessage(long sequence, DaemonId target, List<MemberUpdate> updates)
    implements PeerMessage {

  /** Copies the list, so that the value cannot change. */
  public PingRequestMessage {
    Objects.requireNonNull(target, "target");
    Objects.requireNonNull(target.host(), "host");
    updates = List.copyOf(updates);
  }
}
