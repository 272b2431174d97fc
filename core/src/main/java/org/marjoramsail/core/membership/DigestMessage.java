package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Digest of the membership table of a daemon; a receiver with a different table responds with the
 * buckets that differ.
 *
 * @param buckets the hash of each bucket of hosts
 * @param updates disseminated updates on daemons
 */
public record DigestMessage(List<Long> buckets, List<MemberUpdate> updates) implements PeerMessage {

  /** Copies the lists to make the record immutable. */
  public DigestMessage {
    buckets = List.copyOf(buckets);
    updates = List.copyOf(updates);
  }
}
