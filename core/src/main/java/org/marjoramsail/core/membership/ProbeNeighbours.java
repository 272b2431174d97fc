package org.marjoramsail.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Selects the daemons that one daemon pings.
 *
 * <p>Hosts are ordered in a ring by the hash of their names, and each pings those at distances of
 * powers of two. The number of connections of a host and the number of hops of an update to all
 * hosts thus grow with the logarithm of the fleet size; pinging all others would require a
 * connection to each.
 */
final class ProbeNeighbours {

  /** Maximum size of a fleet in which each daemon pings all others. */
  private static final int SMALL_FLEET = 8;

  private static final Comparator<String> BY_HASH =
      Comparator.<String>comparingLong(host -> Hashing.xxh3_64().hashCharsToLong(host))
          .thenComparing(Comparator.naturalOrder());

  private ProbeNeighbours() {}

  /**
   * Returns the hosts to ping.
   *
   * @param self the own host
   * @param others the other reachable hosts
   */
  static List<String> select(String self, Collection<String> others) {
    if (others.size() < SMALL_FLEET) {
      return new ArrayList<>(others);
    }
    List<String> ring = new ArrayList<>(others);
    ring.add(self);
    ring.sort(BY_HASH);
    int ownPosition = ring.indexOf(self);
    List<String> neighbours = new ArrayList<>();
    for (int distance = 1; distance < ring.size(); distance *= 2) {
      neighbours.add(ring.get((ownPosition + distance) % ring.size()));
    }
    return neighbours;
  }
}
