package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.LongRange;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.feedback.UpstreamFeedback;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementSimulation.Arrival;
import org.marjoramsail.core.placement.PlacementSimulation.End;
import org.marjoramsail.core.placement.PlacementSimulation.LimitEnforcement;

/**
 * Guards against sending requests to an upstream that announces leaving in its responses while the
 * stored list of upstreams cannot be read and does not show it.
 */
class AnnouncedLeavingTest {

  private static final long LEAVING_FROM_MILLIS = 4_000;
  private static final long DURATION_MILLIS = 14_000;

  /** How long an upstream may get new work from a host after the host received its announcement. */
  private static final long DRAIN_MILLIS = 2_000;

  private static final UpstreamFeedback LEAVING =
      new UpstreamFeedback(Optional.empty(), true, Optional.empty(), 0);

  @ParameterizedTest
  @CsvSource({"7, 3, 1, 1", "7, 3, 2, 2", "77, 12, 3, 1", "390, 40, 8, 1"})
  void anUpstreamThatAnnouncesLeavingGetsNoNewWork(
      int hosts, int upstreams, int leaving, long seed) {
    PlacementSimulation fleet = fleet(hosts, upstreams, leaving, seed);

    fleet.run(DURATION_MILLIS);

    assertThat(lateArrivals(fleet)).isEmpty();
  }

  /** Owners fail one after the other; a new owner has received no feedback of the previous ones. */
  @Property(seed = "20261203", tries = 12)
  void itGetsNoNewWorkWhenOwnersFail(@ForAll @LongRange(min = 1) long seed) {
    PlacementSimulation fleet = fleet(7, 3, 1, seed);
    Random random = new Random(seed);
    for (long at = LEAVING_FROM_MILLIS; at < DURATION_MILLIS; at += 300 + random.nextInt(2_000)) {
      int failed = random.nextInt(3);
      fleet.events().at(at, () -> fleet.kill(failed));
    }

    fleet.run(DURATION_MILLIS);

    assertThat(lateArrivals(fleet)).isEmpty();
  }

  /** Hosts cannot reach each other; each one uses the feedback that it received itself. */
  @Test
  void itGetsNoNewWorkFromIsolatedHosts() {
    PlacementSimulation fleet = fleet(3, 3, 1, 1);
    fleet.moveToPartition(1, 1);
    fleet.moveToPartition(2, 2);

    fleet.run(DURATION_MILLIS);

    assertThat(lateArrivals(fleet)).isEmpty();
  }

  /** An announcement holds until the upstream restarts, even if later responses omit it. */
  @Test
  void itGetsNoNewWorkAfterItsResponsesStopAnnouncingIt() {
    PlacementSimulation fleet = new PlacementSimulation(7, 3, 6, 86, 1, LimitEnforcement.BY_OWNER);
    UpstreamName first = fleet.upstreams().get(0);
    fleet.setFeedback(
        name ->
            name.equals(first) && fleet.events().now() > 4_000 && fleet.events().now() < 4_200
                ? LEAVING
                : UpstreamFeedback.NOTHING);
    fleet.load(30, 0, DURATION_MILLIS);

    fleet.run(DURATION_MILLIS);

    assertThat(lateArrivals(fleet)).isEmpty();
  }

  /** If all upstreams of a service leave, requests are refused immediately with a time to retry. */
  @Test
  void requestsAreRefusedImmediatelyWhenAllUpstreamsLeave() {
    PlacementSimulation fleet = fleet(7, 3, 3, 1);

    fleet.run(DURATION_MILLIS);

    assertThat(lateArrivals(fleet)).isEmpty();
    List<End> refused =
        fleet.ends().stream()
            .filter(end -> !end.served() && end.requestedAtMillis() > LEAVING_FROM_MILLIS + 1_000)
            .toList();
    assertThat(refused).hasSizeGreaterThan(100);
    assertThat(refused).allMatch(end -> end.endedAtMillis() - end.requestedAtMillis() <= 50);
    assertThat(refused).allMatch(end -> end.retryAfter().orElse(0L) > 0);
  }

  private static PlacementSimulation fleet(int hosts, int upstreams, int leaving, long seed) {
    PlacementSimulation fleet =
        new PlacementSimulation(hosts, upstreams, 6, 86, seed, LimitEnforcement.BY_OWNER);
    fleet.setFeedback(
        name ->
            fleet.events().now() >= LEAVING_FROM_MILLIS && fleet.upstreams().indexOf(name) < leaving
                ? LEAVING
                : UpstreamFeedback.NOTHING);
    fleet.load(10.0 * upstreams, 0, DURATION_MILLIS);
    return fleet;
  }

  /** Returns the requests that arrived too long after their host had received the announcement. */
  private static List<Arrival> lateArrivals(PlacementSimulation fleet) {
    return fleet.arrivals().stream()
        .filter(
            arrival ->
                fleet
                    .firstFeedbackAt(arrival.upstream(), arrival.host())
                    .filter(receivedAt -> arrival.atMillis() > receivedAt + DRAIN_MILLIS)
                    .isPresent())
        .toList();
  }
}
