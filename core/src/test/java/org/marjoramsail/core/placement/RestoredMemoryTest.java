package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

class RestoredMemoryTest {

  private static final int MEMORY_TOKENS = 7_000;

  /**
   * After a change of the owner, an engine stood half empty until the streams of before had ended.
   * The new owner took them for streams that had not begun: each was to grow by its whole answer
   * for as long as it lived, and nothing was let in beside it.
   */
  @Test
  void aStreamThatGeneratesWhenItIsTakenOverEndsAsForetold() {
    ReservingPlacer placer =
        new ReservingPlacer(
            PlacementFixtures.setup(
                PlacementFixtures.MODEL_SHARD,
                PlacementFixtures.poolWithMemory(1, 1, 4, MEMORY_TOKENS),
                true),
            0);
    Grant old =
        new Grant(
            new RequestId("old"),
            1,
            GrantMode.DISAGGREGATED,
            Optional.of(new UpstreamName("prefill-0")),
            new UpstreamName("decode-0"),
            100,
            4);
    placer.restore(request("old").tokens(3_000, 800).build(), old, AttemptPhase.GENERATING, 0);
    placer.place(request("next").tokens(3_000, 800).build(), 1);

    assertThat(granted(placer.tick(millisFor(300)))).isEmpty();
    assertThat(granted(placer.tick(millisFor(650)))).containsExactly("next");
  }

  private static long millisFor(int tokens) {
    return Math.round(tokens * PlacementSettings.defaults().decodeMillisPerToken());
  }
}
