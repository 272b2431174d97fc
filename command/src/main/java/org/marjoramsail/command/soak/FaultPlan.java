package org.marjoramsail.command.soak;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.marjoramsail.command.fleet.Deployment;

/**
 * Draws the faults of a run from a seed, all before the run.
 *
 * <p>Kinds are dealt like cards, so that each comes in every round. Faults overlap. At every moment
 * at least one of each group that does the callers' work is spared, since a run with none of them
 * would show nothing but refusals; and a target does not meet the same kind twice at once, since
 * the end of the first would end the second.
 */
final class FaultPlan {

  private static final long FIRST_MILLIS = 300;
  private static final int SHORTEST_STEP_MILLIS = 150;
  private static final int LONGEST_STEP_MILLIS = 900;
  private static final int TRIES = 40;

  private final Deployment deployment;
  private final int daemons;
  private final long durationMillis;
  private final List<SoakFault> kinds;
  private final Random random;
  private final List<SoakFault> deck = new ArrayList<>();
  private final List<PlannedFault> faults = new ArrayList<>();

  private FaultPlan(
      Deployment deployment, int daemons, long seed, long durationMillis, List<SoakFault> kinds) {
    this.deployment = deployment;
    this.daemons = daemons;
    this.durationMillis = durationMillis;
    this.kinds = kinds;
    this.random = new Random(seed);
  }

  /**
   * The faults in the order of their beginnings; all end within the duration.
   *
   * @param kinds which may be drawn; with none there are no faults
   */
  static List<PlannedFault> draw(
      Deployment deployment, int daemons, long seed, long durationMillis, List<SoakFault> kinds) {
    return new FaultPlan(deployment, daemons, seed, durationMillis, kinds).draw();
  }

  private List<PlannedFault> draw() {
    long at = FIRST_MILLIS;
    while (!kinds.isEmpty() && at < durationMillis) {
      drawAt(at).ifPresent(faults::add);
      at += SHORTEST_STEP_MILLIS + random.nextInt(LONGEST_STEP_MILLIS - SHORTEST_STEP_MILLIS);
    }
    return List.copyOf(faults);
  }

  private Optional<PlannedFault> drawAt(long atMillis) {
    if (deck.isEmpty()) {
      deck.addAll(kinds);
      Collections.shuffle(deck, random);
    }
    for (int each = 0; each < TRIES; each++) {
      SoakFault kind = deck.get(each % deck.size());
      PlannedFault fault = drawOne(kind, atMillis);
      if (isAllowed(fault)) {
        deck.remove(kind);
        return Optional.of(fault);
      }
    }
    return Optional.empty();
  }

  private PlannedFault drawOne(SoakFault kind, long atMillis) {
    TargetGroup group = kind.groups().get(random.nextInt(kind.groups().size()));
    int number = random.nextInt(group.size(deployment, daemons));
    long millis =
        kind.shortestMillis()
            + random.nextInt(Math.toIntExact(kind.longestMillis() - kind.shortestMillis()));
    long until = Math.min(durationMillis, atMillis + millis);
    return new PlannedFault(kind, new FaultTarget(group, number), atMillis, until);
  }

  private boolean isAllowed(PlannedFault fault) {
    boolean repeated =
        faults.stream()
            .filter(other -> other.target().equals(fault.target()))
            .filter(other -> other.kind() == fault.kind() || isDaemonTwice(other, fault))
            .anyMatch(other -> other.overlaps(fault.atMillis(), fault.untilMillis()));
    return !repeated && sparesOne(fault);
  }

  /** A daemon that is dead cannot pause, and one that pauses is not killed before it goes on. */
  private static boolean isDaemonTwice(PlannedFault one, PlannedFault other) {
    return one.kind().isOfDaemons() && other.kind().isOfDaemons();
  }

  private boolean sparesOne(PlannedFault fault) {
    TargetGroup group = fault.target().group();
    if (!fault.kind().isDisabling() || group.mayAllBeDown()) {
      return true;
    }
    Set<Integer> down = new HashSet<>(Set.of(fault.target().number()));
    faults.stream()
        .filter(other -> other.kind().isDisabling())
        .filter(other -> other.target().group() == group)
        .filter(other -> other.overlaps(fault.atMillis(), fault.untilMillis()))
        .forEach(other -> down.add(other.target().number()));
    return down.size() < group.size(deployment, daemons);
  }
}
