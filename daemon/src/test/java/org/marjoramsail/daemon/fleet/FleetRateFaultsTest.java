package org.marjoramsail.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.membership.VirtualFleet;
import org.marjoramsail.core.membership.VirtualHostStore;
import org.marjoramsail.daemon.fleet.FleetRateScenario.Outcome;
import org.marjoramsail.standin.load.ArrivalLog;

/** The rate limit of an organisation while hosts fail, restart or are cut off from each other. */
final class FleetRateFaultsTest {

  private static final double ABOVE_THE_LIMIT = 150;
  private static final double BELOW_THE_LIMIT = 12;
  private static final int HOSTS = 77;
  private static final long CUT_MILLIS = 10_000;

  /** When all leases are over that were not renewed since the fault. */
  private static final long AFTER_LEASES_MILLIS = 375_000;

  /** Latency of the platform's store, whose calls are given up after 1.5 s. */
  private static final VirtualFleet.Network STORE_NETWORK = new VirtualFleet.Network(0, 0, 5, 200);

  private static final VirtualFleet.Network SLOW = new VirtualFleet.Network(0.1, 0, 200, 1_000);

  /** Guards against owners of one shard that do not charge each other's grants. */
  @ParameterizedTest
  @CsvSource({"7, 11", "7, 12", "77, 11", "77, 12"})
  void rollingRestartsKeepToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHolds(hosts, seed, fleet -> rollingRestarts(fleet, hosts));
  }

  /** Guards against a whole rate for each daemon that has just restarted and knows no other. */
  @ParameterizedTest
  @CsvSource({"7, 11", "7, 12", "77, 11", "77, 12"})
  void aRestartOfAllHostsOnASlowNetworkKeepsToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHolds(hosts, seed, fleet -> restartOnSlowNetwork(fleet, hosts));
  }

  /** Guards against daemons that know the size of the fleet only from what they have met. */
  @ParameterizedTest
  @CsvSource({"77, 11", "77, 12"})
  void aRestartOfAllHostsWithoutAHostListKeepsToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHoldsWithoutHostList(
        hosts, seed, (fleet, store) -> restartOnSlowNetwork(fleet, hosts));
  }

  /** Guards against a size of the fleet that is lost while no host can read it. */
  @ParameterizedTest
  @CsvSource({"77, 11", "77, 12"})
  void aRestartOfAllHostsWhileTheStoreIsAwayKeepsToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHoldsWithoutHostList(
        hosts,
        seed,
        (fleet, store) -> {
          fleet.at(FleetRateScenario.FAULT_MILLIS, () -> store.available(false));
          restartOnSlowNetwork(fleet, hosts);
        });
  }

  /** Guards against a whole rate for each host of a fleet that the store does not know yet. */
  @ParameterizedTest
  @CsvSource({"7, 11", "7, 12", "77, 11", "77, 12"})
  void aFirstStartWithoutAHostListKeepsToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHoldsWithoutHostList(hosts, seed, (fleet, store) -> fleet.membershipNetwork(SLOW));
  }

  /** Guards against a whole rate for each host that knows the others from the store alone. */
  @ParameterizedTest
  @CsvSource({"77, 11", "77, 12"})
  void hostsThatReachOnlyTheStoreKeepToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHoldsWithoutHostList(
        hosts, seed, (fleet, store) -> fleet.cut((from, to) -> !from.equals(to)));
  }

  /** Guards against hosts that stop counting because the store has lost their records. */
  @ParameterizedTest
  @CsvSource({"77, 11", "77, 12"})
  void hostsThatReachNoOtherAfterARestoreOfTheStoreKeepToTheRateOfAnOrganisation(
      int hosts, long seed) {
    assertLimitHoldsWithoutHostList(
        hosts,
        seed,
        (fleet, store) -> {
          fleet.at(FleetRateScenario.FAULT_MILLIS, store::restore);
          fleet.at(FleetRateScenario.FAULT_MILLIS, () -> fleet.cut((from, to) -> !from.equals(to)));
        });
  }

  /** Guards against owners whose shares include daemons that have moved to another owner. */
  @ParameterizedTest
  @CsvSource({"7, 11", "7, 12", "77, 11", "77, 12"})
  void hostsThatStandStillInTurnKeepToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHolds(hosts, seed, fleet -> pausesInTurn(fleet, hosts));
  }

  /** Guards against a whole rate for each host that reaches no other. */
  @ParameterizedTest
  @CsvSource({"7, 11", "7, 12", "77, 11", "77, 12"})
  void hostsThatReachNoOtherKeepToTheRateOfAnOrganisation(int hosts, long seed) {
    assertLimitHolds(hosts, seed, fleet -> fleet.cut((from, to) -> !from.equals(to)));
  }

  /** Guards against a first request of each of many hosts, which together exceed a small limit. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void hostsOfALargeFleetThatReachNoOtherKeepToTheRateOfAnOrganisation(long seed) {
    assertLimitHolds(390, seed, fleet -> fleet.cut((from, to) -> !from.equals(to)));
  }

  /** Guards against standby owners and sides of a partition that each grant the whole rate. */
  @ParameterizedTest
  @CsvSource({"7, 2, 11", "7, 3, 12", "77, 2, 11", "77, 2, 12", "77, 3, 11", "77, 3, 12"})
  void sidesOfAPartitionKeepToTheRateOfAnOrganisation(int hosts, int sides, long seed) {
    assertLimitHolds(
        hosts,
        seed,
        fleet -> fleet.at(CUT_MILLIS, () -> fleet.cut((from, to) -> from % sides != to % sides)));
  }

  /** Guards against refusals of an organisation below its limit while owners change. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void anOrganisationBelowItsLimitIsServedThroughRollingRestarts(long seed) {
    assertServedBelowLimit(seed, fleet -> rollingRestarts(fleet, HOSTS));
  }

  /** Guards against refusals of an organisation below its limit while a fleet starts again. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void anOrganisationBelowItsLimitIsServedThroughARestartOfAllHosts(long seed) {
    assertServedBelowLimit(
        seed, fleet -> fleet.at(FleetRateScenario.FAULT_MILLIS, () -> restartAll(fleet, HOSTS)));
  }

  /** Guards against a host that holds a part of a limit back although it is the whole fleet. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void aFleetOfOneHostServesTheWholeLimit(long seed) {
    Outcome outcome = new FleetRateScenario(1, ABOVE_THE_LIMIT, seed).run(fleet -> {});

    assertThat(outcome.mostInWindow())
        .isGreaterThanOrEqualTo((int) (FleetRateScenario.REQUESTS_PER_SECOND * 10));
  }

  /** Guards against hosts that were removed for good and still hold a part of a limit. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void aFleetThatShrinksServesTheWholeLimit(long seed) {
    FleetRateScenario scenario = new FleetRateScenario(HOSTS, ABOVE_THE_LIMIT, seed);
    long fromMillis = FleetRateScenario.END_MILLIS - ArrivalLog.WINDOW_MILLIS;

    Outcome outcome =
        scenario.run(
            fleet -> fleet.at(FleetRateScenario.FAULT_MILLIS, () -> removeAllBut(fleet, 7)));

    assertThat(outcome.servedSince(fromMillis)).isGreaterThanOrEqualTo(wantedInWindow());
  }

  /** Guards against hosts that have ended for good and still hold a part of a limit. */
  @ParameterizedTest
  @ValueSource(longs = {11, 12})
  void aFleetThatShrinksWithoutAHostListServesTheWholeLimit(long seed) {
    FleetRateScenario scenario = new FleetRateScenario(HOSTS, ABOVE_THE_LIMIT, seed);

    Outcome outcome =
        scenario.run(
            fleet -> {
              replaceHostList(fleet, new VirtualHostStore());
              fleet.at(FleetRateScenario.FAULT_MILLIS, () -> killAllBut(fleet, 7));
            },
            AFTER_LEASES_MILLIS);

    long fromMillis = AFTER_LEASES_MILLIS - ArrivalLog.WINDOW_MILLIS;
    assertThat(outcome.mostInWindow()).isLessThanOrEqualTo(FleetRateScenario.allowedInWindow());
    assertThat(outcome.servedSince(fromMillis)).isGreaterThanOrEqualTo(wantedInWindow());
  }

  private static void assertLimitHolds(int hosts, long seed, Consumer<FleetSimulation> faults) {
    Outcome outcome = new FleetRateScenario(hosts, ABOVE_THE_LIMIT, seed).run(faults);

    assertThat(outcome.mostInWindow())
        .as("requests of one organisation in ten seconds")
        .isLessThanOrEqualTo(FleetRateScenario.allowedInWindow());
  }

  /** Asserts the limit where daemons have no host list but a store for records of hosts. */
  private static void assertLimitHoldsWithoutHostList(
      int hosts, long seed, BiConsumer<FleetSimulation, VirtualHostStore> faults) {
    VirtualHostStore store = new VirtualHostStore();
    assertLimitHolds(
        hosts,
        seed,
        fleet -> {
          replaceHostList(fleet, store);
          faults.accept(fleet, store);
        });
  }

  private static void replaceHostList(FleetSimulation fleet, VirtualHostStore store) {
    fleet.withoutHostList();
    fleet.withHostLeases(store, STORE_NETWORK);
  }

  private static void restartOnSlowNetwork(FleetSimulation fleet, int hosts) {
    fleet.at(
        FleetRateScenario.FAULT_MILLIS,
        () -> {
          fleet.membershipNetwork(SLOW);
          restartAll(fleet, hosts);
        });
  }

  private static void assertServedBelowLimit(long seed, Consumer<FleetSimulation> faults) {
    Outcome outcome = new FleetRateScenario(HOSTS, BELOW_THE_LIMIT, seed).run(faults);

    assertThat(outcome.aboveRate()).as("refused although below the limit").isZero();
  }

  /** Returns the least requests that a fleet without faults serves in a window. */
  private static int wantedInWindow() {
    return (int) (0.9 * FleetRateScenario.REQUESTS_PER_SECOND * ArrivalLog.WINDOW_MILLIS / 1_000);
  }

  private static void killAllBut(FleetSimulation fleet, int remaining) {
    for (int host = remaining; host < HOSTS; host++) {
      fleet.kill(host);
    }
  }

  private static void removeAllBut(FleetSimulation fleet, int remaining) {
    for (int host = remaining; host < HOSTS; host++) {
      fleet.remove(host);
    }
  }

  private static void restartAll(FleetSimulation fleet, int hosts) {
    for (int host = 0; host < hosts; host++) {
      fleet.restart(host, 300);
    }
  }

  /** Lets ten hosts a second stand still for three seconds, at random. */
  private static void pausesInTurn(FleetSimulation fleet, int hosts) {
    Random random = new Random(3);
    for (int pause = 0; pause < 150; pause++) {
      int host = random.nextInt(hosts);
      fleet.at(FleetRateScenario.FAULT_MILLIS + pause * 100L, () -> fleet.pause(host, 3_000));
    }
  }

  /** Restarts ten hosts a second, one after the other. */
  private static void rollingRestarts(FleetSimulation fleet, int hosts) {
    for (int restart = 0; restart < 150; restart++) {
      int host = restart % hosts;
      fleet.at(FleetRateScenario.FAULT_MILLIS + restart * 100L, () -> fleet.restart(host, 100));
    }
  }
}
