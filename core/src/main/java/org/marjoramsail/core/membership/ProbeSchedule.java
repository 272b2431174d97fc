package org.marjoramsail.core.membership;

import java.util.ArrayDeque;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.model.DaemonId;

/**
 * Whom to ping next in the own region, and the ping that is under way. Each of {@linkplain
 * ProbeNeighbours a few daemons} is pinged once in a round of random order, so that the time to the
 * next ping of any is bounded.
 */
final class ProbeSchedule {

  /**
   * A ping that waits for its answer.
   *
   * @param target whom
   * @param version the target's version when it was pinged
   * @param sequence stands in the answer
   * @param startedMillis when it was sent
   * @param indirect whether others have been asked to ping
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

  /** The next host of the round that is still among those that can be pinged. */
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
