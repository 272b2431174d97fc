package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * A summary of all that a daemon knows of others; a receiver that knows something else answers with
 * what differs.
 *
 * @param buckets a hash for each bucket of hosts
 * @param updates news of daemons
 */
public record DigestMessage(List<Long> buckets, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the lists, so that the value cannot change. */
  public DigestMessage {
    buckets = List.copyOf(buckets);
    updates = List.copyOf(updates);
  }
}
