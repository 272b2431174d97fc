package org.marjoramsail.core.membership;

import java.util.List;

/**
 * Snapshot of the membership as observed by one daemon.
 *
 * @param self the observing daemon
 * @param members all known daemons including {@code self}, ordered by host
 * @param unknownHosts hosts on the platform's host list of which no daemon is known
 * @param removedHosts hosts of dead daemons that the platform's host list no longer has
 * @param isFleetKnown whether the size of the fleet is known, so that the other parts of a divided
 *     fleet are accounted for
 */
public record MembershipView(
    Member self, List<Member> members, int unknownHosts, int removedHosts, boolean isFleetKnown) {

  /** Allowed excess of the shares of all sides of a network partition, as a factor. */
  private static final double MAXIMUM_EXCESS_FACTOR = 1.1;

  /** Copies the list to make the record immutable. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /** Creates the view of a daemon that knows all listed hosts. */
  public MembershipView(Member self, List<Member> members) {
    this(self, members, 0, 0, true);
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
   * Returns the number of hosts of the fleet, reachable or not, without those that have left or
   * were removed.
   */
  public int knownHosts() {
    long staying = members.stream().filter(member -> member.state() != MemberState.LEFT).count();
    return (int) staying + unknownHosts - removedHosts;
  }

  /** Returns the number of daemons that this one can reach, including itself. */
  public int reachableHosts() {
    return (int) members.stream().filter(member -> member.state().isReachable()).count();
  }

  /**
   * Returns the share of a limit of the whole fleet that the reachable daemons may use: their part
   * of the known hosts.
   *
   * <p>A daemon cannot tell hosts that are cut off from hosts that have failed. Hosts that are cut
   * off grant requests as well, so the shares of all sides of a partition must not exceed the
   * limit. A daemon that has just started knows the size of the fleet from the host list. Without
   * one, parts of a fleet that restarted while they were divided do not know of each other; {@link
   * #isFleetKnown} tells whether that is excluded.
   */
  public double budgetShare() {
    int known = knownHosts();
    return known == 0 ? 1 : Math.min(1, MAXIMUM_EXCESS_FACTOR * reachableHosts() / known);
  }
}
