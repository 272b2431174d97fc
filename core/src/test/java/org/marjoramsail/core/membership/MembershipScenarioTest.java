package org.marjoramsail.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.model.DaemonId;

/** Failures of daemons and of their network, simulated with a virtual clock and fixed seeds. */
final class MembershipScenarioTest {

  private static final long SECOND = 1_000;
  private static final long MINUTE = 60 * SECOND;
  private static final int ZONES = 3;

  private static VirtualFleet fleet(int daemons, long seed) {
    VirtualFleet fleet = empty(seed);
    startRegion(fleet, "santiago", daemons);
    fleet.run(10 * SECOND);
    assertAllAgree(fleet);
    return fleet;
  }

  private static VirtualFleet twoRegions(int each, long seed) {
    VirtualFleet fleet = empty(seed);
    startRegion(fleet, "north", each);
    startRegion(fleet, "south", each);
    fleet.run(20 * SECOND);
    assertAllAgree(fleet);
    return fleet;
  }

  private static VirtualFleet empty(long seed) {
    return new VirtualFleet(
        MembershipSettings.defaults(), new SplittableRandom(seed), (from, message) -> {});
  }

  private static void startRegion(VirtualFleet fleet, String region, int daemons) {
    for (int number = 0; number < daemons; number++) {
      fleet.start(region + "-" + number, region + "-zone-" + number % ZONES, region);
    }
  }

  private static void assertAllAgree(VirtualFleet fleet) {
    List<DaemonId> running = fleet.running();
    for (DaemonId daemon : running) {
      assertThat(reachable(fleet, daemon)).as("view of %s", daemon).isEqualTo(running);
    }
  }

  private static List<DaemonId> reachable(VirtualFleet fleet, DaemonId viewer) {
    return fleet.view(viewer.host()).members().stream()
        .filter(member -> member.state().isReachable())
        .map(Member::id)
        .toList();
  }

  private static long deaths(VirtualFleet fleet) {
    return fleet.running().stream()
        .mapToLong(daemon -> fleet.statistics(daemon.host()).deaths())
        .sum();
  }

  private static boolean allOthersObserve(VirtualFleet fleet, String host, MemberState state) {
    return fleet.running().stream()
        .filter(viewer -> !viewer.host().equals(host))
        .allMatch(viewer -> fleet.observedState(viewer.host(), host).equals(Optional.of(state)));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void aFailedDaemonIsDeclaredDeadByAllOthersWithinThreeSeconds(long seed) {
    // Guards against requests that wait for a failed shard owner.
    VirtualFleet fleet = fleet(7, seed);
    fleet.run(seed * 37);
    fleet.kill("santiago-3");
    fleet.run(3 * SECOND);
    assertThat(allOthersObserve(fleet, "santiago-3", MemberState.DEAD)).isTrue();
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void noDaemonIsDeclaredDeadInTenMinutesWithFivePercentMessageLoss(long seed) {
    // Guards against cancelling requests of a running daemon because pings or acks were lost.
    VirtualFleet fleet = fleet(7, seed);
    fleet.network(new VirtualFleet.Network(0.05, 0.01, 1, 5));
    fleet.run(10 * MINUTE);
    assertThat(deaths(fleet)).isZero();
    assertAllAgree(fleet);
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aPauseOfOneSecondCausesNoDeclaredDeath(long seed) {
    // Guards against cancelled requests after a garbage collection pause: the other daemons suspect
    // the paused one, and its own timeouts have expired when it resumes.
    VirtualFleet fleet = fleet(7, seed);
    for (int pause = 0; pause < 120; pause++) {
      fleet.pause("santiago-" + pause % 7, SECOND);
      fleet.run(5 * SECOND);
    }
    assertThat(deaths(fleet)).isZero();
    assertAllAgree(fleet);
  }

  @Test
  void aDaemonPausedForTenSecondsIsDeclaredDeadRecoversAndSuspectsNoOther() {
    // Guards against false suspicions by a daemon whose timers have all expired when it resumes.
    VirtualFleet fleet = fleet(7, 5);
    fleet.pause("santiago-2", 10 * SECOND);
    fleet.run(9 * SECOND);
    assertThat(allOthersObserve(fleet, "santiago-2", MemberState.DEAD)).isTrue();
    fleet.run(15 * SECOND);
    assertAllAgree(fleet);
    assertThat(fleet.statistics("santiago-2").deaths()).isZero();
    assertThat(fleet.statistics("santiago-2").pauses()).isEqualTo(1);
  }

  @Test
  void aRestartedDaemonReplacesItsFormerIncarnationWithoutASuspicion() {
    // Guards against shards that remain assigned to the former incarnation of a restarted daemon.
    VirtualFleet fleet = fleet(7, 6);
    DaemonId successor = fleet.restart("santiago-4");
    fleet.run(2 * SECOND);
    assertThat(fleet.running()).contains(successor);
    assertAllAgree(fleet);
    assertThat(deaths(fleet)).isZero();
  }

  @Test
  void aDaemonThatLeavesIsFirstLeavingThenLeftAndNeverSuspected() {
    // Guards against a planned departure that is handled like a crash, which would cancel requests.
    VirtualFleet fleet = fleet(7, 7);
    fleet.leave("santiago-5", 5 * SECOND);
    fleet.run(3 * SECOND);
    assertThat(allOthersObserve(fleet, "santiago-5", MemberState.LEAVING)).isTrue();
    fleet.run(4 * SECOND);
    assertThat(allOthersObserve(fleet, "santiago-5", MemberState.LEFT)).isTrue();
    fleet.run(MINUTE);
    assertThat(allOthersObserve(fleet, "santiago-5", MemberState.LEFT)).isTrue();
    assertThat(deaths(fleet)).isZero();
  }

  @Test
  void partitionedRegionsMergeWithoutAFalseDeath() {
    // Guards against declaring running daemons dead after a partition between regions. One daemon
    // fails and one restarts during the partition; only these changes may be disseminated.
    VirtualFleet fleet = twoRegions(7, 8);
    fleet.cut((from, to) -> !from.region().equals(to.region()));
    fleet.run(MINUTE);
    for (DaemonId viewer : fleet.running()) {
      MembershipView view = fleet.view(viewer.host());
      assertThat(view.members())
          .allSatisfy(
              member ->
                  assertThat(member.state())
                      .isEqualTo(
                          member.region().equals(view.self().region())
                              ? MemberState.ALIVE
                              : MemberState.UNREACHABLE));
    }
    fleet.kill("south-2");
    fleet.restart("south-3");
    runWithoutAFalseDeath(fleet, 4 * MINUTE);
    fleet.healCuts();
    runWithoutAFalseDeath(fleet, 30 * SECOND);
    assertAllAgree(fleet);
  }

  private static void runWithoutAFalseDeath(VirtualFleet fleet, long millis) {
    Set<DaemonId> running = Set.copyOf(fleet.running());
    for (long passed = 0; passed < millis; passed += 100) {
      fleet.run(100);
      for (DaemonId viewer : running) {
        assertThat(fleet.view(viewer.host()).members())
            .noneMatch(
                member -> running.contains(member.id()) && member.state() == MemberState.DEAD);
      }
    }
  }

  @Test
  void partitionedZonesKeepTheirOwnMembersReachableWhenTheyMerge() {
    // Guards against declaring neighbours dead after a partition, because the other side had
    // declared them dead.
    VirtualFleet fleet = fleet(9, 9);
    String zone = "santiago-zone-0";
    fleet.cut(
        (from, to) -> from.availabilityZone().equals(zone) != to.availabilityZone().equals(zone));
    fleet.run(MINUTE);
    assertThat(fleet.observedState("santiago-0", "santiago-1").orElseThrow())
        .isEqualTo(MemberState.DEAD);
    fleet.healCuts();
    for (int step = 0; step < 300; step++) {
      fleet.run(100);
      assertThat(fleet.observedState("santiago-0", "santiago-3").orElseThrow().isReachable())
          .isTrue();
      assertThat(fleet.observedState("santiago-1", "santiago-2").orElseThrow().isReachable())
          .isTrue();
    }
    assertAllAgree(fleet);
  }

  @Test
  void aRemovedDaemonIsNotAddedAgainByOutdatedUpdates() {
    // Guards against adding a removed host again by updates of daemons that have not removed it
    // yet.
    MembershipSettings shortRetention =
        new MembershipSettings(250, 100, 3, 1_250, 2_000, 6, 5_000, 30_000, MINUTE, 250, 1_200, 3);
    VirtualFleet fleet =
        new VirtualFleet(shortRetention, new SplittableRandom(10), (from, message) -> {});
    startRegion(fleet, "santiago", 7);
    fleet.run(10 * SECOND);
    fleet.kill("santiago-6");
    fleet.run(MINUTE + 20 * SECOND);
    for (int step = 0; step < 60; step++) {
      fleet.run(SECOND);
      for (DaemonId viewer : fleet.running()) {
        assertThat(fleet.observedState(viewer.host(), "santiago-6")).isEmpty();
      }
    }
  }

  @Test
  void theMessageRateOfADaemonDoesNotGrowWithTheFleet() {
    List<Long> pings = new ArrayList<>();
    for (int daemons : new int[] {7, 50}) {
      long[] sent = new long[1];
      VirtualFleet fleet =
          new VirtualFleet(
              MembershipSettings.defaults(),
              new SplittableRandom(11),
              (from, message) -> sent[0]++);
      startRegion(fleet, "santiago", daemons);
      fleet.run(MINUTE);
      long before = sent[0];
      fleet.run(MINUTE);
      pings.add((sent[0] - before) / daemons);
    }
    assertThat(pings.get(1)).isBetween(pings.get(0) * 9 / 10, pings.get(0) * 11 / 10);
  }

  @Test
  void everyDaemonOfALargeFleetDiscoversAllOthers() {
    VirtualFleet fleet = empty(12);
    IntStream.range(0, 100)
        .forEach(n -> fleet.start("host-" + n, "zone-" + n % 5, n % 2 == 0 ? "north" : "south"));
    fleet.run(30 * SECOND);
    assertAllAgree(fleet);
  }

  /** Guards against parts of a fleet that each use limits of the whole fleet. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void partsThatRestartedWhileDividedDoNotKnowTheFleet(long seed) {
    VirtualFleet fleet = empty(seed);
    fleet.seedCount(3);
    startRegion(fleet, "santiago", 9);
    fleet.run(10 * SECOND);
    fleet.cut((from, to) -> part(from.host()) != part(to.host()));
    IntStream.range(0, 9).forEach(number -> fleet.restart("santiago-" + number));
    fleet.run(20 * SECOND);

    assertThat(fleet.running()).noneMatch(daemon -> fleet.view(daemon.host()).isFleetKnown());

    fleet.healCuts();
    fleet.run(MINUTE);
    assertThat(fleet.running()).allMatch(daemon -> fleet.view(daemon.host()).isFleetKnown());
  }

  /** Guards against daemons that give up limits of the fleet because seeds have failed. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void daemonsKnowTheFleetAfterMostSeedsHaveFailed(long seed) {
    VirtualFleet fleet = fleet(9, seed);
    fleet.kill("santiago-0");
    fleet.kill("santiago-1");
    fleet.run(MINUTE);

    assertThat(fleet.running()).allMatch(daemon -> fleet.view(daemon.host()).isFleetKnown());
  }

  private static int part(String host) {
    return Integer.parseInt(host.substring(host.lastIndexOf('-') + 1)) % 3;
  }
}
