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

  /**
   * Which part of a budget that all daemons share this one may spend: all of it while it sees half
   * of the known daemons or more, else the share that it sees.
   *
   * <p>Daemons beyond a cut decide for the same organisations with full budgets of their own, and
   * what both sides grant adds up at the upstreams. The smaller side keeps to its part.
   */
  public double budgetShare() {
    long known = members.stream().filter(member -> member.state() != MemberState.LEFT).count();
    long reachable = members.stream().filter(member -> member.state().isReachable()).count();
    return known == 0 || 2 * reachable >= known ? 1 : reachable / (double) known;
  }
}
