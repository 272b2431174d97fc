package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Entries of the membership table of a daemon for some buckets of hosts.
 *
 * @param buckets the buckets
 * @param members the entries
 * @param answerWanted whether the receiver has to respond with its entries of the same buckets
 */
public record StateMessage(List<Integer> buckets, List<MemberUpdate> members, boolean answerWanted)
    implements PeerMessage {

  /** Copies the lists to make the record immutable. */
  public StateMessage {
    buckets = List.copyOf(buckets);
    members = List.copyOf(members);
  }
}
