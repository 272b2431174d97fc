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
   * An engine crashed with all that ran on it and was back under its name, empty. The daemon that
   * held its streams was cut off and could not say that they were over, so the owner took the
   * engine for full, and requests waited beside it.
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

  /** The prompt of a request is still being read; its answer will come from the new life. */
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
