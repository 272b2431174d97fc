package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

/** Tests the engine that is kept for a large request from smaller ones of the same rank. */
class LargeRequestEarmarkTest {

  private static final long TARGET = 1_000;
  private static final int SMALL = 1_900;
  private static final int LARGE = 3_900;

  private final ReservingPlacer placer = PlacementFixtures.placer(poolWithMemory(1, 2, 16, 10_000));
  private final List<String> onFirst = new ArrayList<>();
  private final List<String> onSecond = new ArrayList<>();

  /** Fills each engine with five small requests. */
  @BeforeEach
  void fillBothEngines() {
    UpstreamName first = onlyGrant(place("small-0", SMALL, 0)).target();
    onFirst.add("small-0");
    for (int number = 1; number < 10; number++) {
      String name = "small-" + number;
      boolean isOnFirst = onlyGrant(place(name, SMALL, 0)).target().equals(first);
      (isOnFirst ? onFirst : onSecond).add(name);
    }
  }

  /** Guards against small requests within their target that pass a late large one for good. */
  @Test
  void aLateLargeRequestIsServedBeforeSmallerOnesOnItsEngine() {
    place("large", LARGE, 0);
    placer.tick(TARGET);
    place("next-0", SMALL, TARGET + 1);
    place("next-1", SMALL, TARGET + 1);
    place("next-2", SMALL, TARGET + 1);

    List<String> order = new ArrayList<>();
    for (int ends = 0; ends < 3; ends++) {
      order.addAll(end(onFirst.get(ends), TARGET + 2));
      order.addAll(end(onSecond.get(ends), TARGET + 2));
    }

    assertThat(order).contains("large").last().isNotEqualTo("large");
  }

  /** Guards against engines that stay idle while another one gains room for a large request. */
  @Test
  void smallerRequestsUseTheOtherEngineMeanwhile() {
    place("large", LARGE, 0);
    place("next-0", SMALL, 1);
    place("next-1", SMALL, 1);

    List<String> order = new ArrayList<>();
    order.addAll(end(onFirst.get(0), 2));
    order.addAll(end(onSecond.get(0), 2));

    assertThat(order).containsExactly("next-0");
  }

  /** Ends a request and returns the requests that are granted then, whose prefill ends at once. */
  private List<String> end(String name, long nowMillis) {
    List<String> started =
        granted(placer.report(ended(name, 1, AttemptResult.COMPLETED), nowMillis));
    started.forEach(next -> placer.report(progress(next, 1, AttemptPhase.GENERATING), nowMillis));
    return started;
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
