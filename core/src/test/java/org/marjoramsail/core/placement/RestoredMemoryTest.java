package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

class RestoredMemoryTest {

  private static final int MEMORY_TOKENS = 7_600;
  private static final int NEVER = -1;
  private static final Grant GRANT =
      new Grant(
          new RequestId("old"),
          1,
          GrantMode.DISAGGREGATED,
          Optional.of(new UpstreamName("prefill-0")),
          new UpstreamName("decode-0"),
          100,
          4);

  /**
   * Guards against a new owner that treats restored streams as not started, expects their full
   * length until they end, and grants nothing concurrently with them.
   */
  @Test
  void aStreamThatGeneratesAtATakeoverFreesItsMemoryAsPredicted() {
    ReservingPlacer takenOver = placer(true);
    takenOver.restore(existing(), GRANT, AttemptPhase.GENERATING, 0);
    ReservingPlacer original = placer(false);
    original.place(existing(), 0);
    original.report(PlacementFixtures.progress("old", 1, AttemptPhase.GENERATING), 0);
    ReservingPlacer notGenerating = placer(false);
    notGenerating.place(existing(), 0);

    assertThat(tokensUntilGrant(takenOver))
        .isEqualTo(tokensUntilGrant(original))
        .isBetween(301, 999);
    assertThat(tokensUntilGrant(notGenerating)).isEqualTo(NEVER);
  }

  private static ReservingPlacer placer(boolean takenOver) {
    return new ReservingPlacer(
        PlacementFixtures.setup(
            PlacementFixtures.MODEL_SHARD,
            PlacementFixtures.poolWithMemory(1, 1, 4, MEMORY_TOKENS),
            takenOver),
        0);
  }

  private static PlacementRequest existing() {
    return request("old").tokens(3_000, 800).build();
  }

  /**
   * Returns after how many tokens of the existing stream the next request is granted, in steps of
   * ten.
   */
  private static int tokensUntilGrant(ReservingPlacer placer) {
    placer.place(request("next").tokens(3_000, 800).build(), 1);
    for (int tokens = 10; tokens <= 2_000; tokens += 10) {
      if (granted(placer.tick(millisFor(tokens))).contains("next")) {
        return tokens;
      }
    }
    return NEVER;
  }

  private static long millisFor(int tokens) {
    return Math.round(tokens * PlacementSettings.defaults().decodeMillisPerToken());
  }
}
