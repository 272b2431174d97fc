package org.marjoramsail.core.membership;

import java.util.List;

/**
 * Snapshot of the membership as observed by one daemon.
 *
 * @param self the observing daemon
 * @param members all known daemons including {@code self}, ordered by host
 */
public record MembershipView(Member self, List<Member> members) {

  /** Copies the list to make the record immutable. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /** Returns the daemons of a region that may own shards. */
  public List<Member> eligibleInRegion(String region) {
    return members.stream()
        .filter(member -> member.state().isEligible() && member.region().equals(region))
        .toList();
  }

  /** Returns whether no other daemon is known. */
  public boolean isAlone() {
    return members.size() == 1;
  }

  /**
   * Returns the share of a common budget that this daemon may use: all of it while at least half of
   * the known daemons are reachable, else the share of the reachable ones.
   *
   * <p>During a network partition, both sides grant requests of the same organisations. The smaller
   * side limits its grants so that upstreams are not overloaded.
   */
  public double budgetShare() {
    long known = members.stream().filter(member -> member.state() != MemberState.LEFT).count();
    long reachable = members.stream().filter(member -> member.state().isReachable()).count();
    return known == 0 || 2 * reachable >= known ? 1 : reachable / (double) known;
  }
}
