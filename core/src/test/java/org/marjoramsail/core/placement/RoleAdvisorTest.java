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
   * The first burst came six seconds after the start, and a reader that stood idle was turned just
   * then: the owner had waited for a dozen answers of four seconds each before it looked.
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

  /** A reader that was given two prompts at once looked half as fast as it is. */
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
