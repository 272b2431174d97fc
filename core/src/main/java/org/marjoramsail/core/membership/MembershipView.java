package org.marjoramsail.core.membership;

import java.util.List;

/**
 * The daemons at one moment, as one of them sees them.
 *
 * @param self the daemon whose view it is
 * @param members all known daemons with {@code self}, by host name
 */
public record MembershipView(Member self, List<Member> members) {

  /** Copies the list, so that the value cannot change. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /** The daemons of this region that may own shards. */
  public List<Member> eligibleInRegion(String region) {
    return members.stream()
        .filter(member -> member.state().isEligible() && member.region().equals(region))
        .toList();
  }
}
