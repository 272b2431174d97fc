package org.marjoramsail.core.membership;

import java.util.List;
import org.marjoramsail.core.message.PeerMessage;

/**
 * All that a daemon knows of the hosts of some buckets.
 *
 * @param buckets which
 * @param members what it knows
 * @param answerWanted whether the receiver sends the same buckets back
 */
public record StateMessage(List<Integer> buckets, List<MemberUpdate> members, boolean answerWanted)
    implements PeerMessage {

  /** Copies the lists, so that the value cannot change. */
  public StateMessage {
    buckets = List.copyOf(buckets);
    members = List.copyOf(members);
  }
}
