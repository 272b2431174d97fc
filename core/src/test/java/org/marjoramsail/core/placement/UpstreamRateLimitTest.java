package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.feedback.UpstreamFeedback;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementSimulation.Arrival;
import org.marjoramsail.core.placement.PlacementSimulation.End;
import org.marjoramsail.core.placement.PlacementSimulation.LimitEnforcement;

/**
 * Guards against hosts that together exceed the request rate that an upstream announces, since an
 * upstream that needs relief responds quickly and appears idle.
 */
class UpstreamRateLimitTest {

  private static final long LIMITED_FROM_MILLIS = 4_000;
  private static final long DURATION_MILLIS = 20_000;

  /** How long hosts may take to apply a limit after it is first announced. */
  private static final long PROPAGATION_MILLIS = 3_000;

  /** How long a host may take to apply a limit after it received it. */
  private static final long REACTION_MILLIS = 500;

  private static final long WINDOW_MILLIS = 4_000;
  private static final double ALLOWED_FACTOR = 1.5;
  private static final int ALLOWED_REQUESTS = 5;

  /** Offered requests a second for each upstream. */
  private static final double LOAD_OF_UPSTREAM = 12;

  private static final int SLOTS = 6;
  private static final long WORK_MILLIS = 86;

  @ParameterizedTest
  @CsvSource({"7, 3, 2, 1", "7, 3, 2, 2", "77, 12, 4, 1", "390, 40, 12, 1"})
  void hostsTogetherObeyTheLimitOfAnUpstream(int hosts, int upstreams, int limited, long seed) {
    PlacementSimulation fleet = fleet(hosts, upstreams, limited, seed, LimitEnforcement.BY_OWNER);

    fleet.run(DURATION_MILLIS);

    assertLimitsHold(fleet, limited);
  }

  /** A limited upstream gets as many requests as it accepts. */
  @ParameterizedTest
  @CsvSource({"7, 3, 2, 1", "77, 12, 4, 1", "390, 40, 12, 1"})
  void aLimitIsFullyUsedUnderHigherDemand(int hosts, int upstreams, int limited, long seed) {
    PlacementSimulation fleet = fleet(hosts, upstreams, limited, seed, LimitEnforcement.BY_OWNER);

    fleet.run(DURATION_MILLIS);

    for (UpstreamName name : fleet.upstreams().subList(0, limited)) {
      assertThat(usedShare(fleet, name)).isGreaterThan(0.9);
    }
  }

  /**
   * Compares with the alternative in which each host that received the limit keeps to a share of
   * it; hosts that did not receive it exceed it.
   */
  @ParameterizedTest
  @ValueSource(ints = {77, 390})
  void sharesPerHostExceedALimitThatOwnersKeep(int hosts) {
    PlacementSimulation byOwner = fleet(hosts, 12, 4, 1, LimitEnforcement.BY_OWNER);
    PlacementSimulation byShares = fleet(hosts, 12, 4, 1, LimitEnforcement.BY_HOST_SHARES);
    byOwner.run(DURATION_MILLIS);
    byShares.run(DURATION_MILLIS);

    UpstreamName first = byOwner.upstreams().get(0);
    assertThat(usedShare(byOwner, first)).isBetween(0.9, 1.1);
    assertThat(usedShare(byShares, first)).isGreaterThan(1.5);
  }

  /** Owners fail one after the other; a new owner has received no feedback of the previous ones. */
  @Property(seed = "20261203", tries = 12)
  void theLimitHoldsWhenOwnersFail(@ForAll @LongRange(min = 1) long seed) {
    PlacementSimulation fleet = fleet(7, 3, 2, seed, LimitEnforcement.BY_OWNER);
    Random random = new Random(seed);
    for (long at = LIMITED_FROM_MILLIS; at < DURATION_MILLIS; at += 500 + random.nextInt(2_500)) {
      int failed = random.nextInt(3);
      fleet.events().at(at, () -> fleet.kill(failed));
    }

    fleet.run(DURATION_MILLIS);

    assertLimitsHold(fleet, 2);
  }

  /**
   * The owner is partitioned from the hosts that received the limit, and they elect another owner.
   * The isolated host grants by itself, with its share of the limit once it detects the partition.
   */
  @ParameterizedTest
  @ValueSource(ints = {7, 77})
  void theLimitHoldsWhenTheOwnerIsPartitionedFromHostsThatReceivedIt(int hosts) {
    PlacementSimulation fleet = fleet(hosts, 3, 2, 1, LimitEnforcement.BY_OWNER);
    fleet.events().at(8_000, () -> fleet.moveToPartition(0, 1));

    fleet.run(DURATION_MILLIS);

    for (UpstreamName name : fleet.upstreams().subList(0, 2)) {
      assertThat(mostInAWindow(fleet, name, arrival -> !arrival.host().host().equals("host-0")))
          .isLessThanOrEqualTo(allowed(limitOf(fleet, name)));
      assertThat(mostInAWindow(fleet, name, arrival -> arrival.atMillis() > 9_000))
          .isLessThanOrEqualTo(allowed(limitOf(fleet, name)));
    }
  }

  /** A host that reaches no other host places by the limit that it received itself. */
  @Test
  void anIsolatedHostObeysTheLimit() {
    PlacementSimulation fleet = fleet(2, 3, 2, 1, LimitEnforcement.BY_OWNER);
    fleet.events().at(8_000, () -> fleet.moveToPartition(1, 1));

    fleet.run(DURATION_MILLIS);

    for (UpstreamName name : fleet.upstreams().subList(0, 2)) {
      long most = mostInAWindow(fleet, name, arrival -> arrival.host().host().equals("host-1"));
      assertThat(most).isLessThanOrEqualTo(allowed(limitOf(fleet, name)));
    }
  }

  @Test
  void aLoweredLimitIsObeyedAndARemovedLimitIsDropped() {
    PlacementSimulation fleet =
        new PlacementSimulation(7, 3, SLOTS, WORK_MILLIS, 1, LimitEnforcement.BY_OWNER);
    UpstreamName changing = fleet.upstreams().get(0);
    fleet.setFeedback(name -> name.equals(changing) ? changing(fleet) : UpstreamFeedback.NOTHING);
    fleet.load(3 * LOAD_OF_UPSTREAM, 0, DURATION_MILLIS);

    fleet.run(DURATION_MILLIS);

    assertThat(arrivals(fleet, changing, 9_000, 13_000)).isLessThanOrEqualTo(allowed(2));
    assertThat(arrivals(fleet, changing, 15_000, 19_000)).isGreaterThan(30);
  }

  /**
   * An upstream that accepts no requests still gets one occasionally, whose response ends the
   * limit.
   */
  @Test
  void aLimitOfZeroIsKeptAndItsEndIsNoticed() {
    PlacementSimulation fleet =
        new PlacementSimulation(7, 3, SLOTS, WORK_MILLIS, 1, LimitEnforcement.BY_OWNER);
    UpstreamName first = fleet.upstreams().get(0);
    fleet.setFeedback(
        name ->
            name.equals(first) && fleet.events().now() < 12_000
                ? limit(0)
                : UpstreamFeedback.NOTHING);
    fleet.load(3 * LOAD_OF_UPSTREAM, 0, 24_000);

    fleet.run(24_000);

    assertThat(arrivals(fleet, first, 3_000, 7_000)).isLessThanOrEqualTo(allowed(0));
    assertThat(arrivals(fleet, first, 18_000, 22_000)).isGreaterThan(30);
  }

  /** Requests beyond the limits of all upstreams are refused early, with a time to retry. */
  @Test
  void excessRequestsAreRefusedEarlyWithARetryTime() {
    PlacementSimulation fleet = fleet(7, 3, 3, 1, LimitEnforcement.BY_OWNER);

    fleet.run(DURATION_MILLIS);

    assertLimitsHold(fleet, 3);
    List<End> refused =
        fleet.ends().stream()
            .filter(end -> !end.served() && end.requestedAtMillis() > LIMITED_FROM_MILLIS + 1_000)
            .toList();
    assertThat(refused).isNotEmpty();
    assertThat(refused).allMatch(end -> end.retryAfter().orElse(0L) > 0);
    assertThat(refused).allMatch(end -> end.endedAtMillis() - end.requestedAtMillis() <= 1_500);
    assertThat(refused.stream().filter(UpstreamRateLimitTest::isRefusedBeforeTarget).count())
        .isGreaterThan(refused.size() * 9L / 10);
  }

  /** Creates upstreams of which the first ones announce a limit after some time. */
  private static PlacementSimulation fleet(
      int hosts, int upstreams, int limited, long seed, LimitEnforcement way) {
    PlacementSimulation fleet =
        new PlacementSimulation(hosts, upstreams, SLOTS, WORK_MILLIS, seed, way);
    fleet.setFeedback(
        name ->
            fleet.events().now() >= LIMITED_FROM_MILLIS && fleet.upstreams().indexOf(name) < limited
                ? limit(limitOf(fleet, name))
                : UpstreamFeedback.NOTHING);
    fleet.load(LOAD_OF_UPSTREAM * upstreams, 0, DURATION_MILLIS);
    return fleet;
  }

  private static double limitOf(PlacementSimulation fleet, UpstreamName name) {
    return fleet.upstreams().indexOf(name) % 2 == 0 ? 4.1 : 3.5;
  }

  private static UpstreamFeedback limit(double perSecond) {
    return new UpstreamFeedback(Optional.of(perSecond), false, Optional.empty(), 0);
  }

  private static UpstreamFeedback changing(PlacementSimulation fleet) {
    long now = fleet.events().now();
    if (now < LIMITED_FROM_MILLIS || now >= 13_000) {
      return UpstreamFeedback.NOTHING;
    }
    return limit(now < 8_000 ? 6 : 2);
  }

  private static long allowed(double perSecond) {
    return Math.round(ALLOWED_FACTOR * perSecond * WINDOW_MILLIS / 1_000) + ALLOWED_REQUESTS;
  }

  private static void assertLimitsHold(PlacementSimulation fleet, int limited) {
    for (UpstreamName name : fleet.upstreams().subList(0, limited)) {
      assertThat(mostInAWindow(fleet, name))
          .as("requests that %s gets within four seconds", name)
          .isLessThanOrEqualTo(allowed(limitOf(fleet, name)));
    }
  }

  /** Returns the used share of the limit of an upstream after hosts had time to apply it. */
  private static double usedShare(PlacementSimulation fleet, UpstreamName name) {
    long from = LIMITED_FROM_MILLIS + PROPAGATION_MILLIS;
    double seconds = (DURATION_MILLIS - from) / 1_000.0;
    return arrivals(fleet, name, from, DURATION_MILLIS) / (seconds * limitOf(fleet, name));
  }

  private static long arrivals(PlacementSimulation fleet, UpstreamName name, long from, long to) {
    return fleet.arrivals().stream()
        .filter(one -> one.upstream().equals(name))
        .filter(one -> one.atMillis() >= from && one.atMillis() < to)
        .count();
  }

  private static long mostInAWindow(PlacementSimulation fleet, UpstreamName name) {
    return mostInAWindow(fleet, name, arrival -> true);
  }

  /**
   * Returns the most requests in any window that an upstream got from hosts that had received the
   * limit.
   */
  private static long mostInAWindow(
      PlacementSimulation fleet, UpstreamName name, Predicate<Arrival> isCounted) {
    List<Arrival> counted =
        fleet.arrivals().stream()
            .filter(arrival -> arrival.upstream().equals(name))
            .filter(arrival -> arrival.atMillis() >= LIMITED_FROM_MILLIS + PROPAGATION_MILLIS)
            .filter(arrival -> hasReceivedLimit(fleet, arrival) && isCounted.test(arrival))
            .toList();
    long most = 0;
    for (Arrival last : counted) {
      long from = last.atMillis() - WINDOW_MILLIS;
      most =
          Math.max(
              most,
              counted.stream()
                  .filter(one -> one.atMillis() > from && one.atMillis() <= last.atMillis())
                  .count());
    }
    return most;
  }

  /** Returns whether a request was refused before its latency target. */
  private static boolean isRefusedBeforeTarget(End end) {
    return end.endedAtMillis() - end.requestedAtMillis() <= PlacementSimulation.TARGET_MILLIS;
  }

  private static boolean hasReceivedLimit(PlacementSimulation fleet, Arrival arrival) {
    return fleet
        .firstFeedbackAt(arrival.upstream(), arrival.host())
        .filter(receivedAt -> arrival.atMillis() >= receivedAt + REACTION_MILLIS)
        .isPresent();
  }
}
