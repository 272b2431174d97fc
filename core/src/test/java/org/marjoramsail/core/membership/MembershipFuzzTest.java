package org.marjoramsail.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.marjoramsail.core.model.DaemonId;

/**
 * Random histories of a fleet of two regions. After all faults have ended, every daemon observes
 * exactly the running daemons as reachable, and no view ever returns to an earlier incarnation.
 */
final class MembershipFuzzTest {

  private static final int DAEMONS = 8;
  private static final long RECOVERY_MILLIS = 120_000;
  private static final long STEP_MILLIS = 250;

  private enum Kind {
    WAIT,
    KILL,
    RESTART,
    PAUSE,
    LEAVE,
    CUT_HOST,
    CUT_ZONE,
    CUT_REGION,
    CUT_ONE_WAY,
    HEAL_CUTS,
    UNRELIABLE_NETWORK,
    RELIABLE_NETWORK
  }

  private record Step(Kind kind, int host, long millis) {}

  @Property(seed = "4201", tries = 150)
  void afterAnyHistoryAllViewsListTheRunningDaemons(
      @ForAll("histories") List<Step> history, @ForAll long seed) {
    VirtualFleet fleet =
        new VirtualFleet(
            MembershipSettings.defaults(), new SplittableRandom(seed), (from, message) -> {});
    for (int number = 0; number < DAEMONS; number++) {
      fleet.start(host(number), "zone-" + number % 4, number % 2 == 0 ? "north" : "south");
    }
    Map<DaemonId, Map<String, Long>> newest = new HashMap<>();
    for (Step step : history) {
      apply(fleet, step);
      for (long passed = 0; passed < step.millis(); passed += STEP_MILLIS) {
        fleet.run(STEP_MILLIS);
        assertNoReturnToAnEarlierIncarnation(fleet, newest);
      }
    }
    endFaults(fleet);
    assertNoReturnToAnEarlierIncarnation(fleet, newest);
    assertViewsListTheRunningDaemons(fleet);
  }

  private static void apply(VirtualFleet fleet, Step step) {
    String host = host(step.host());
    boolean running = fleet.running().stream().anyMatch(daemon -> daemon.host().equals(host));
    switch (step.kind()) {
      case WAIT -> {}
      case KILL -> fleet.kill(host);
      case RESTART -> fleet.restart(host);
      case PAUSE -> fleet.pause(host, step.millis());
      case LEAVE -> {
        if (running) {
          fleet.leave(host, step.millis() / 2);
        }
      }
      case CUT_HOST -> fleet.cut(between(member -> member.host().equals(host)));
      case CUT_ZONE -> fleet.cut(between(member -> member.availabilityZone().equals("zone-0")));
      case CUT_REGION -> fleet.cut(between(member -> member.region().equals("north")));
      case CUT_ONE_WAY -> fleet.cut((from, to) -> from.host().equals(host));
      case HEAL_CUTS -> fleet.healCuts();
      case UNRELIABLE_NETWORK -> fleet.network(new VirtualFleet.Network(0.2, 0.1, 1, 400));
      case RELIABLE_NETWORK -> fleet.network(VirtualFleet.Network.RELIABLE);
    }
  }

  private static BiPredicate<MemberUpdate, MemberUpdate> between(Predicate<MemberUpdate> side) {
    return (from, to) -> side.test(from) != side.test(to);
  }

  /** Ends all faults; one seed has to run, or separate daemons could not discover each other. */
  private static void endFaults(VirtualFleet fleet) {
    fleet.healCuts();
    fleet.network(VirtualFleet.Network.RELIABLE);
    if (fleet.running().stream().noneMatch(daemon -> daemon.host().equals(host(0)))) {
      fleet.restart(host(0));
    }
    fleet.run(RECOVERY_MILLIS);
  }

  private static void assertNoReturnToAnEarlierIncarnation(
      VirtualFleet fleet, Map<DaemonId, Map<String, Long>> newest) {
    for (DaemonId viewer : fleet.running()) {
      Map<String, Long> known = newest.computeIfAbsent(viewer, id -> new HashMap<>());
      for (Member member : fleet.view(viewer.host()).members()) {
        Long before = known.put(member.id().host(), member.id().incarnation());
        assertThat(before == null || before <= member.id().incarnation())
            .as("%s observed %s after incarnation %s", viewer, member.id(), before)
            .isTrue();
      }
    }
  }

  private static void assertViewsListTheRunningDaemons(VirtualFleet fleet) {
    Set<DaemonId> running = Set.copyOf(fleet.running());
    for (DaemonId viewer : running) {
      Map<DaemonId, MemberState> reachable =
          fleet.view(viewer.host()).members().stream()
              .filter(member -> member.state().isReachable())
              .collect(Collectors.toMap(Member::id, Member::state));
      assertThat(reachable.keySet()).as("view of %s", viewer).isEqualTo(running);
      assertThat(reachable.values()).doesNotContain(MemberState.SUSPECT);
    }
  }

  private static String host(int number) {
    return "host-" + number;
  }

  @Provide
  Arbitrary<List<Step>> histories() {
    return Combinators.combine(
            Arbitraries.of(Kind.class),
            Arbitraries.integers().between(0, DAEMONS - 1),
            Arbitraries.longs().between(0, 8_000))
        .as(Step::new)
        .list()
        .ofMinSize(1)
        .ofMaxSize(14);
  }

  @Property(seed = "4202", tries = 1500)
  void updatesOfAnIncarnationMergeToTheSameStateInAnyOrder(
      @ForAll("beliefs") List<MemberUpdate> updates) {
    MemberUpdate start = updateOf(0, Health.ALIVE, Departure.STAYING);
    MemberEntry forward = new MemberEntry(start, 0);
    MemberEntry backward = new MemberEntry(start, 0);
    for (int position = 0; position < updates.size(); position++) {
      forward = forward.merge(updates.get(position), 1);
      backward = backward.merge(updates.get(updates.size() - 1 - position), 1);
    }
    assertThat(forward.update()).isEqualTo(backward.update());
    for (MemberUpdate received : updates) {
      assertThat(forward.merge(received, 2).update()).isEqualTo(forward.update());
    }
  }

  private static MemberUpdate updateOf(int version, Health health, Departure departure) {
    return new MemberUpdate("host", 1, version, health, departure, "10.0.0.1", 1, "zone", "region");
  }

  @Provide
  Arbitrary<List<MemberUpdate>> beliefs() {
    return Combinators.combine(
            Arbitraries.integers().between(0, 3),
            Arbitraries.of(Health.class),
            Arbitraries.of(Departure.class))
        .as(MembershipFuzzTest::updateOf)
        .list()
        .ofMaxSize(6);
  }
}
