package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Guards against late requests that take each freed part of an engine's memory while a slightly
 * larger request that can still meet its target waits for more.
 */
class LateBehindTimelyTest {

  private static final long TARGET = 1_000;

  private final ReservingPlacer placer = PlacementFixtures.placer(poolWithMemory(1, 1, 16, 10_000));

  @Test
  void lateRequestsDoNotTakeTheMemoryThatRequestsWithinTheirTargetWaitFor() {
    place("long", 4_000, 0);
    place("also-long", 4_000, 0);
    place("short", 1_500, 0);
    place("late", 600, 0);
    placer.tick(TARGET + 1);
    place("in-time", 4_000, TARGET + 2);

    assertThat(granted(end("short", TARGET + 3))).isEmpty();
    assertThat(granted(end("long", TARGET + 4))).first().isEqualTo("in-time");
  }

  private List<PlacementResult> end(String name, long nowMillis) {
    return placer.report(ended(name, 1, AttemptResult.COMPLETED), nowMillis);
  }

  private List<PlacementResult> place(String name, int promptTokens, long nowMillis) {
    PlacementRequest request =
        request(name)
            .tokens(promptTokens, 10)
            .serviceClass(ServiceClass.TIMELY)
            .within(TARGET, 14_000)
            .build();
    List<PlacementResult> results = placer.place(request, nowMillis);
    placer.report(progress(name, 1, AttemptPhase.GENERATING), nowMillis);
    return results;
  }
}
