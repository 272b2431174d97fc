package org.marjoramsail.core.membership;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/** Addresses at which daemons of the fleet may run, and the size of the fleet that they tell. */
final class FleetAddresses {

  private final List<PeerAddress> seeds;
  private List<PeerAddress> hostList = List.of();
  private boolean isHostListComplete;
  private boolean hasReachedMostSeeds;

  FleetAddresses(List<PeerAddress> seeds) {
    this.seeds = List.copyOf(seeds);
  }

  /** Sets the addresses of a host list, which complement the seeds while it is incomplete. */
  void hostList(List<PeerAddress> addresses, boolean isComplete) {
    hostList = List.copyOf(addresses);
    isHostListComplete = isComplete && !addresses.isEmpty();
  }

  /** Returns all addresses at which a daemon may run. */
  Set<PeerAddress> all() {
    Set<PeerAddress> all = new LinkedHashSet<>(seeds);
    all.addAll(hostList);
    return all;
  }

  /** Returns the number of hosts of which no daemon is in the table. */
  int unknownHosts(MemberTable table) {
    // A complete list replaces the seeds, which may be stale for good.
    return table.unknownAmong(isHostListComplete ? hostList : List.copyOf(all()));
  }

  /** Returns the number of hosts of dead daemons that are not part of the fleet any more. */
  int removedHosts(MemberTable table) {
    return isHostListComplete ? table.deadNotAmong(hostList) : 0;
  }

  /**
   * Returns whether the size of the fleet is known, from a complete list or from members.
   *
   * <p>Daemons share their seeds, so that only one part of a divided fleet reaches most of them. A
   * daemon that has reached most of them once has met the whole fleet; members that fail later stay
   * in its table.
   */
  boolean isFleetKnown(MemberTable table) {
    hasReachedMostSeeds |= table.reachesMostOf(seeds);
    return hasReachedMostSeeds || isHostListComplete;
  }
}
