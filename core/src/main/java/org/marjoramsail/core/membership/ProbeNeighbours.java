package org.marjoramsail.core.membership;

import com.dynatrace.hash4j.hashing.Hashing;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/**
 * Chooses the few daemons that one daemon pings.
 *
 * <p>Pinging all of a fleet in turn takes a connection to each, which a host opens, proves and
 * keeps though it has nothing to say to most: 2,926 connections in a fleet of 77. All hosts are put
 * in a circle by the hash of their names, and each pings those at distances of a power of two. So
 * each is pinged as often as if all were pinged in turn, by a number of others that grows with the
 * logarithm of the fleet, and news reach all in as many steps.
 */
final class ProbeNeighbours {

  /** Fleets of this size or less ping all, which costs no more. */
  private static final int SMALL_FLEET = 8;

  private static final Comparator<String> BY_HASH =
      Comparator.<String>comparingLong(host -> Hashing.xxh3_64().hashCharsToLong(host))
          .thenComparing(Comparator.naturalOrder());

  private ProbeNeighbours() {}

  /**
   * The hosts to ping.
   *
   * @param self the host that pings
   * @param others the hosts that can be pinged
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
