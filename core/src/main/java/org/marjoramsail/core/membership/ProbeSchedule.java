package org.marjoramsail.core.membership;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.model.DaemonId;

/**
 * Schedule of the pings in the own region, with the ping in flight. Each of {@linkplain
 * ProbeNeighbours a few daemons} is pinged once in a round of random order, which limits the time
 * between two pings of the same daemon.
 */
final class ProbeSchedule {

  /**
   * Ping without a response so far.
   *
   * @param target the daemon that was pinged
   * @param version the version of the target when it was pinged
   * @param sequence sequence number, repeated in the response
   * @param startedMillis time at which it was sent
   * @param indirect whether others have been requested to ping the target
   */
  record Probe(DaemonId target, int version, long sequence, long startedMillis, boolean indirect) {

    Probe asIndirect() {
      return new Probe(target, version, sequence, startedMillis, true);
    }
  }

  private final RandomGenerator random;
  private final Deque<String> round = new ArrayDeque<>();
  private Optional<Probe> current = Optional.empty();

  ProbeSchedule(RandomGenerator random) {
    this.random = random;
  }

  Optional<Probe> current() {
    return current;
  }

  void begin(Probe probe) {
    current = Optional.of(probe);
  }

  void end() {
    current = Optional.empty();
  }

  boolean isCurrent(long sequence) {
    return current.filter(probe -> probe.sequence() == sequence).isPresent();
  }

  /** Returns the next daemon of the round that is neither dead nor left. */
  Optional<MemberEntry> next(MemberTable table) {
    if (round.isEmpty()) {
      MemberUpdate self = table.self().update();
      List<String> hosts = ProbeNeighbours.select(self.host(), table.reachableIn(self.region()));
      shuffle(hosts);
      round.addAll(hosts);
    }
    while (!round.isEmpty()) {
      Optional<MemberEntry> entry = table.find(round.poll()).filter(found -> !found.isInactive());
      if (entry.isPresent()) {
        return entry;
      }
    }
    return Optional.empty();
  }

  private void shuffle(List<String> hosts) {
    for (int last = hosts.size() - 1; last > 0; last--) {
      Collections.swap(hosts, last, random.nextInt(last + 1));
    }
  }
}
