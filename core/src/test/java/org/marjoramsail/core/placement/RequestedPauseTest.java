package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.feedback.UpstreamFeedback;
import org.marjoramsail.core.placement.PlacementSimulation.Arrival;
import org.marjoramsail.core.placement.PlacementSimulation.End;
import org.marjoramsail.core.placement.PlacementSimulation.LimitEnforcement;

/**
 * Guards against hosts that retry an upstream after a fixed short time although its 503 response
 * requests a longer pause.
 */
class RequestedPauseTest {

  private static final long PAUSING_FROM_MILLIS = 4_000;
  private static final long DURATION_MILLIS = 14_000;
  private static final long PAUSE_MILLIS = 3_000;

  /** How long a host may take to apply a pause after it received it. */
  private static final long REACTION_MILLIS = 500;

  private static final int ALLOWED_REQUESTS = 2;

  private static final UpstreamFeedback PAUSE_REQUESTED =
      new UpstreamFeedback(Optional.empty(), false, Optional.of(PAUSE_MILLIS), 0);

  @ParameterizedTest
  @CsvSource({"7, 3, 1, 1", "7, 3, 2, 2", "77, 12, 3, 1"})
  void aHostSendsNothingDuringTheRequestedPause(int hosts, int upstreams, int pausing, long seed) {
    PlacementSimulation fleet = fleet(hosts, upstreams, pausing, seed);

    fleet.run(DURATION_MILLIS);

    assertPausesHold(fleet);
  }

  /** If all upstreams request a pause, requests are refused immediately with a time to retry. */
  @Test
  void requestsAreRefusedImmediatelyWhileAllUpstreamsPause() {
    PlacementSimulation fleet = fleet(2, 3, 3, 1);

    fleet.run(DURATION_MILLIS);

    assertPausesHold(fleet);
    List<End> refused =
        fleet.ends().stream()
            .filter(end -> !end.served() && end.requestedAtMillis() > PAUSING_FROM_MILLIS + 1_000)
            .filter(end -> end.endedAtMillis() - end.requestedAtMillis() <= 50)
            .toList();
    assertThat(refused).hasSizeGreaterThan(100);
    assertThat(refused).anyMatch(end -> end.retryAfter().orElse(0L) > 1_500);
    assertThat(refused).allMatch(end -> end.retryAfter().orElse(0L) <= PAUSE_MILLIS);
  }

  private static PlacementSimulation fleet(int hosts, int upstreams, int pausing, long seed) {
    PlacementSimulation fleet =
        new PlacementSimulation(hosts, upstreams, 6, 86, seed, LimitEnforcement.BY_OWNER);
    fleet.setFeedback(
        name ->
            fleet.events().now() >= PAUSING_FROM_MILLIS && fleet.upstreams().indexOf(name) < pausing
                ? PAUSE_REQUESTED
                : UpstreamFeedback.NOTHING);
    fleet.load(10.0 * upstreams, 0, DURATION_MILLIS);
    return fleet;
  }

  private static void assertPausesHold(PlacementSimulation fleet) {
    assertThat(fleet.pauses()).isNotEmpty();
    for (Arrival requested : fleet.pauses()) {
      long since =
          fleet.arrivals().stream()
              .filter(one -> one.upstream().equals(requested.upstream()))
              .filter(one -> one.host().equals(requested.host()))
              .filter(one -> one.atMillis() > requested.atMillis() + REACTION_MILLIS)
              .filter(one -> one.atMillis() < requested.atMillis() + PAUSE_MILLIS)
              .count();
      assertThat(since).isLessThanOrEqualTo(ALLOWED_REQUESTS);
    }
  }
}
