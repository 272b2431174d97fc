package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamRole;

class RoleAdvisorTest {

  private final ReservingPlacer placer = shortLivedPlacer(poolWithMemory(3, 3, 48, 42_000));

  /**
   * Guards against a change that starts only during the first burst, when the engine is required in
   * either role.
   */
  @Test
  void aPrefillUpstreamIsReassignedAsSoonAsRequestSizesAreKnown() {
    for (int number = 0; number < 5; number++) {
      placeAndStart("r" + number, number * 200L);
    }
    assertThat(placer.recommendedRoleChange(1_000)).isEmpty();

    placeAndStart("r5", 1_000);

    assertThat(placer.recommendedRoleChange(1_200))
        .map(RoleChange::role)
        .contains(UpstreamRole.DECODE);
  }

  /**
   * Guards against counting the wait behind another prompt as prefill time, which would halve the
   * estimated prefill rate of an upstream.
   */
  @Test
  void theWaitForAnotherPrefillIsNotCountedAsPrefillTime() {
    UpstreamState upstream =
        new UpstreamState(
            PlacementFixtures.upstream("lector", "p", UpstreamRole.PREFILL, 48),
            PlacementSettings.forShortLivedCaches(),
            OutputLengthDistribution.initialEstimate(),
            new PrefillRate(PlacementSettings.forShortLivedCaches()),
            new PlainOccupancy());
    for (long end = 200; end <= 20_000; end += 100) {
      upstream.endPrefill(0, end - 100);
      upstream.learnPrefill(3_000, 200, end);
    }

    assertThat(upstream.prefillMillis(3_000)).isBetween(98.0, 102.0);
  }

  private void placeAndStart(String name, long nowMillis) {
    placer.place(request(name).tokens(3_100, 800).build(), nowMillis);
    placer.report(progress(name, 1, AttemptPhase.GENERATING), nowMillis + 100);
  }
}
