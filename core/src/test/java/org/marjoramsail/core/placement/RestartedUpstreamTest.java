package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.startedAt;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.model.RequestId;

class RestartedUpstreamTest {

  private static final int MEMORY_TOKENS = 7_000;

  /**
   * Guards against an owner that takes a restarted engine as full because the daemon whose streams
   * ran on it could not report their end.
   */
  @Test
  void requestsOfAnEarlierIncarnationHoldNoSlotOnARestartedUpstream() {
    Configuration pool = PlacementFixtures.poolWithMemory(1, 1, 1, MEMORY_TOKENS);
    ReservingPlacer placer = PlacementFixtures.placer(pool);
    placer.place(request("old").tokens(3_000, 800).build(), 0);
    placer.report(generating("old"), 1);
    placer.place(request("next").tokens(3_000, 800).build(), 2);

    List<PlacementResult> results = placer.configure(startedAt(pool, 1_000), 3);

    assertThat(granted(results)).containsExactly("next");
  }

  /** The prefill of the request is in flight; the new incarnation will generate its output. */
  @Test
  void aRequestWhosePrefillIsInFlightKeepsItsSlot() {
    Configuration pool = PlacementFixtures.poolWithMemory(1, 1, 1, MEMORY_TOKENS);
    ReservingPlacer placer = PlacementFixtures.placer(pool);
    placer.place(request("old").tokens(3_000, 800).build(), 0);
    placer.place(request("next").tokens(3_000, 800).build(), 1);

    List<PlacementResult> results = placer.configure(startedAt(pool, 1_000), 2);

    assertThat(granted(results)).isEmpty();
  }

  private static AttemptReport generating(String request) {
    return new AttemptReport(
        new RequestId(request),
        1,
        AttemptPhase.GENERATING,
        Optional.empty(),
        Optional.empty(),
        0,
        0,
        0);
  }
}
