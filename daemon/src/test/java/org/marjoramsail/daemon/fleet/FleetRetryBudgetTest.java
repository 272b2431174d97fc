package org.marjoramsail.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.membership.VirtualFleet;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.daemon.fleet.FleetSimulation.RequestKind;
import org.marjoramsail.daemon.fleet.FleetSimulation.Size;
import org.marjoramsail.daemon.fleet.SimulatedUpstream.Condition;
import org.marjoramsail.daemon.fleet.SimulatedUpstream.FailureKind;
import org.marjoramsail.standin.load.ArrivalLog;

/** Retries of a whole fleet against what is allowed in any window, and what callers get of them. */
final class FleetRetryBudgetTest {

  private static final long SETTLED_MILLIS = 15_000;
  private static final long END_MILLIS = 30_000;

  /** Streams of this length take six seconds. */
  private static final int LONG_OUTPUT_TOKENS = 200;

  /** Failure detectors of hosts that are short of processor time while all of them start. */
  private static final VirtualFleet.Network SLOW = new VirtualFleet.Network(0.1, 0, 200, 1_000);

  /** Guards against shares of the retries that follow from a view with few daemons. */
  @ParameterizedTest
  @CsvSource({"7, 1, RESPONSE", "7, 2, CUT", "77, 1, RESPONSE", "77, 2, CUT", "77, 3, REJECTION"})
  void aFleetThatStartsSlowlyUnderLoadKeepsToItsRetries(int hosts, long seed, FailureKind kind) {
    FleetSimulation fleet = new FleetSimulation(size(hosts), seed);
    fleet.membershipNetwork(SLOW);
    allFail(fleet, 0.6, kind);
    load(fleet, hosts, 0);
    fleet.startAll();
    fleet.run(END_MILLIS - 5_000);
    assertWithinBudget(fleet);
  }

  /** Guards against a full share for each daemon that sees none of the others. */
  @ParameterizedTest
  @CsvSource({"1, RESPONSE", "2, CUT", "3, REJECTION"})
  void daemonsThatStartAloneKeepToTheRetriesOfTheFleet(long seed, FailureKind kind) {
    FleetSimulation fleet = new FleetSimulation(size(77), seed);
    fleet.cut((from, to) -> !from.equals(to));
    allFail(fleet, 0.6, kind);
    load(fleet, 77, 0);
    fleet.startAll();
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against a reserve that each restart renews, while the restarted see few others. */
  @ParameterizedTest
  @CsvSource({"7, 1, CUT", "77, 1, RESPONSE", "77, 2, CUT", "77, 3, REJECTION"})
  void aFleetThatIsKilledAndRestartedAtOnceKeepsToItsRetries(
      int hosts, long seed, FailureKind kind) {
    FleetSimulation fleet = settled(hosts, seed);
    fleet.at(SETTLED_MILLIS, () -> fleet.membershipNetwork(SLOW));
    fleet.at(SETTLED_MILLIS, () -> allFail(fleet, 0.6, kind));
    fleet.at(
        SETTLED_MILLIS,
        () -> IntStream.range(0, hosts).forEach(host -> fleet.restart(host, 300L + 10L * host)));
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against daemons that hold a new reserve after each restart. */
  @ParameterizedTest
  @CsvSource({"7, 1, CUT", "77, 1, RESPONSE", "77, 2, CUT", "77, 3, REJECTION"})
  void restartsInSequenceRenewNoRetries(int hosts, long seed, FailureKind kind) {
    FleetSimulation fleet = settled(hosts, seed);
    fleet.at(SETTLED_MILLIS, () -> allFail(fleet, 0.4, kind));
    for (int round = 0; round < 3 * hosts; round++) {
      int host = round % hosts;
      fleet.at(SETTLED_MILLIS + round * 12_000L / (3L * hosts), () -> fleet.restart(host, 100));
    }
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against two sides of a network partition that spend a whole budget each. */
  @ParameterizedTest
  @CsvSource({"7, 1, CUT, 2", "77, 1, CUT, 2", "77, 2, REJECTION, 2", "77, 3, RESPONSE, 10"})
  void theSidesOfAPartitionKeepToTheRetriesOfTheFleet(
      int hosts, long seed, FailureKind kind, int sides) {
    FleetSimulation fleet = settled(hosts, seed);
    fleet.at(SETTLED_MILLIS - 5_000, () -> fleet.cut((from, to) -> from % sides != to % sides));
    fleet.at(SETTLED_MILLIS, () -> allFail(fleet, 0.4, kind));
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against shares of a small fleet that stay in use after it has grown. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2})
  void aFleetThatGrowsAndShrinksKeepsToItsRetries(long seed) {
    FleetSimulation fleet = new FleetSimulation(size(77), seed);
    IntStream.range(0, 7).forEach(fleet::start);
    load(fleet, 77, 2_000);
    for (int host = 7; host < 77; host++) {
      int added = host;
      fleet.at(5_000 + 50L * host, () -> fleet.start(added));
    }
    fleet.at(SETTLED_MILLIS, () -> allFail(fleet, 0.5, FailureKind.CUT));
    for (int host = 7; host < 77; host++) {
      int removed = host;
      fleet.at(SETTLED_MILLIS + 100L * host, () -> fleet.kill(removed));
    }
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against retries without a budget while upstreams are replaced under a peak. */
  @ParameterizedTest
  @CsvSource({"7, 1", "77, 1", "77, 2"})
  void upstreamsThatLeaveInSequenceUnderAPeakCostNoMoreThanTheBudget(int hosts, long seed) {
    FleetSimulation fleet = settled(hosts, seed);
    load(fleet, hosts, SETTLED_MILLIS);
    for (String service : List.of(FleetSimulation.MODEL, FleetSimulation.PLAIN)) {
      List<SimulatedUpstream> upstreams = fleet.upstreams(service);
      for (int number = 0; number < upstreams.size(); number++) {
        SimulatedUpstream leaving = upstreams.get(number);
        long at = SETTLED_MILLIS + number * 12_000L / upstreams.size();
        fleet.at(at, () -> leaving.condition(Condition.REJECTING));
        fleet.at(at + 1_000, () -> leaving.condition(Condition.DARK));
        fleet.at(at + 3_000, () -> leaving.condition(Condition.SERVING));
      }
    }
    fleet.run(END_MILLIS);
    assertWithinBudget(fleet);
  }

  /** Guards against requests that count at each owner that grants them while owners stand still. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32})
  void hostsThatStandStillInTurnKeepToTheRetriesOfTheFleet(long seed) {
    FleetSimulation fleet = new FleetSimulation(size(63), seed);
    fleet.withoutHostList();
    Random random = new Random(3);
    fleet.at(SETTLED_MILLIS - 1_000, () -> allFail(fleet, 0.9, FailureKind.REJECTION));
    for (long at = SETTLED_MILLIS - 1_000; at < END_MILLIS; at += 100) {
      int host = random.nextInt(63);
      fleet.at(at, () -> fleet.pause(host, 3_000));
    }
    loadWithStreamsThatRunOnce(fleet);
    fleet.startAll();
    fleet.run(END_MILLIS + 2_000);
    assertWithinBudget(fleet);
  }

  /** Guards against a whole slack for each part of a fleet that restarted while it was divided. */
  @ParameterizedTest
  @CsvSource({"3, 31", "4, 32"})
  void partsOfAFleetThatRestartedWhileDividedKeepToTheRetriesOfTheFleet(int parts, long seed) {
    FleetSimulation fleet = new FleetSimulation(size(63), seed);
    fleet.withoutHostList();
    fleet.seedCount(parts);
    fleet.at(6_000, () -> fleet.cut((from, to) -> from % parts != to % parts));
    fleet.at(
        6_000,
        () -> IntStream.range(0, 63).forEach(host -> fleet.restart(host, 300L + 10L * host)));
    fleet.at(SETTLED_MILLIS + 5_000, () -> allFail(fleet, 0.9, FailureKind.REJECTION));
    loadWithStreamsThatRunOnce(fleet);
    fleet.startAll();
    fleet.run(END_MILLIS + 2_000);
    assertWithinBudget(fleet);
  }

  /** Guards against calls that repeat a rejected prefill without a grant. */
  @ParameterizedTest
  @ValueSource(longs = {31, 32})
  void eachRetryThatArrivesWhilePrefillsAreRejectedWasGranted(long seed) {
    FleetSimulation fleet = new FleetSimulation(size(63), seed);
    for (SimulatedUpstream upstream : fleet.upstreams(FleetSimulation.MODEL)) {
      if (upstream.definition().role() == UpstreamRole.PREFILL) {
        rejectEveryOtherSecond(fleet, upstream);
      }
    }
    loadWithStreamsThatRunOnce(fleet);
    fleet.startAll();
    fleet.run(END_MILLIS + 2_000);

    double granted =
        fleet.counted("marjoramsail.retries.granted", "service", FleetSimulation.MODEL);
    assertThat(fleet.arrivals(FleetSimulation.MODEL).retries())
        .as("retries that arrived")
        .isPositive()
        .isLessThanOrEqualTo((int) granted);
  }

  /** Guards against a budget that refuses the callers of one failed engine in a calm fleet. */
  @ParameterizedTest
  @CsvSource({"77, 1", "77, 2", "77, 3"})
  void theStreamsOfAnEngineThatDiesAreResumed(int hosts, long seed) {
    FleetSimulation fleet = settled(hosts, seed);
    fleet.outputTokens(LONG_OUTPUT_TOKENS);
    AtomicInteger cut = new AtomicInteger();
    fleet.at(SETTLED_MILLIS, () -> cut.set(killBusiestDecoder(fleet)));
    fleet.run(END_MILLIS + 10_000);

    assertThat(cut.get()).as("streams that were cut").isGreaterThanOrEqualTo(10);
    assertThat(notServed(fleet, RequestKind.RESUMABLE_STREAM)).isZero();
    assertWithinBudget(fleet);
  }

  /** Guards against a budget that leaves lookups to an upstream that fails part of them. */
  @ParameterizedTest
  @CsvSource({"7, 1", "77, 1", "77, 2"})
  void lookupsThatOneOfThreeUpstreamsFailsAreServedByTheOthers(int hosts, long seed) {
    FleetSimulation fleet = settled(hosts, seed);
    SimulatedUpstream failing = fleet.upstreams(FleetSimulation.PLAIN).get(0);
    fleet.at(SETTLED_MILLIS, () -> failing.failing(0.4, FailureKind.RESPONSE));
    fleet.run(END_MILLIS);

    assertThat(notServed(fleet, RequestKind.LOOKUP)).isZero();
    assertWithinBudget(fleet);
  }

  /** Kills the decode engine with the most streams, and returns their number. */
  private static int killBusiestDecoder(FleetSimulation fleet) {
    SimulatedUpstream busiest =
        fleet.upstreams(FleetSimulation.MODEL).stream()
            .filter(upstream -> upstream.definition().role() == UpstreamRole.DECODE)
            .max(Comparator.comparingInt(SimulatedUpstream::runningCalls))
            .orElseThrow();
    int streams = busiest.runningCalls();
    busiest.condition(Condition.DOWN);
    return streams;
  }

  private static long notServed(FleetSimulation fleet, RequestKind kind) {
    return fleet.ends().stream().filter(end -> end.kind() == kind && !end.served()).count();
  }

  /** Returns a fleet that is under load and healthy for some time. */
  private static FleetSimulation settled(int hosts, long seed) {
    FleetSimulation fleet = new FleetSimulation(size(hosts), seed);
    fleet.startAll();
    load(fleet, hosts, 3_000);
    return fleet;
  }

  private static Size size(int hosts) {
    return switch (hosts) {
      case 7 -> new Size(7, 10, 3, 54);
      case 63 -> new Size(63, 42, 5, 166);
      case 77 -> new Size(77, 34, 3, 194);
      default -> new Size(390, 170, 15, 194);
    };
  }

  /** Loads a fleet in proportion to its size. */
  private static void load(FleetSimulation fleet, int hosts, long fromMillis) {
    double factor = hosts / 77.0;
    fleet.load(RequestKind.RESUMABLE_STREAM, 37 * factor, fromMillis, END_MILLIS);
    fleet.load(RequestKind.STREAM, 3.5 * factor, fromMillis, END_MILLIS);
    fleet.load(RequestKind.LOOKUP, 62 * factor, fromMillis, END_MILLIS);
    fleet.load(RequestKind.BALLOT, 90 * factor, fromMillis, END_MILLIS);
  }

  /** Loads a fleet of 63 hosts mostly with streams and plain requests that may run once only. */
  private static void loadWithStreamsThatRunOnce(FleetSimulation fleet) {
    fleet.load(RequestKind.RESUMABLE_STREAM, 2.1, 3_000, END_MILLIS);
    fleet.load(RequestKind.STREAM, 42.2, 3_000, END_MILLIS);
    fleet.load(RequestKind.LOOKUP, 51.3, 3_000, END_MILLIS);
    fleet.load(RequestKind.BALLOT, 128, 3_000, END_MILLIS);
  }

  private static void rejectEveryOtherSecond(FleetSimulation fleet, SimulatedUpstream upstream) {
    for (long at = SETTLED_MILLIS; at < END_MILLIS; at += 2_000) {
      fleet.at(at, () -> upstream.condition(Condition.REJECTING));
      fleet.at(at + 1_000, () -> upstream.condition(Condition.SERVING));
    }
  }

  private static void allFail(FleetSimulation fleet, double share, FailureKind kind) {
    for (String service : List.of(FleetSimulation.MODEL, FleetSimulation.PLAIN)) {
      fleet.upstreams(service).forEach(upstream -> upstream.failing(share, kind));
    }
  }

  private static void assertWithinBudget(FleetSimulation fleet) {
    for (String service : List.of(FleetSimulation.MODEL, FleetSimulation.PLAIN)) {
      ArrivalLog.Window worst = fleet.arrivals(service).worstWindow();
      assertThat(worst.excess())
          .as("retries to %s beyond what is allowed: %s", service, worst)
          .isNotPositive();
    }
  }
}
