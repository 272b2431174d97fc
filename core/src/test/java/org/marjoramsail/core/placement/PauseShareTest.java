package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.StreamChunking;

/**
 * Guards against one limit of local prefill for all engines: those that prefill in small chunks
 * pause their streams for a part of the time only, others for all of it.
 */
class PauseShareTest {

  private static final long PAUSE_MILLIS = 300;

  private final PlacementEstimates estimates =
      new PlacementEstimates(PlacementSettings.forShortLivedCaches());
  private final PlacementRequest request =
      request("r").chunking(new StreamChunking(10, PAUSE_MILLIS)).build();

  @Test
  void anEngineThatPrefillsInSmallChunksMayPrefillLongPrompts() {
    learn(0.25);

    assertThat(estimates.localPrefillMillisWithinPause(request)).isGreaterThan(600);
  }

  @Test
  void anEngineThatPrefillsAtOnceMayNotPrefillForLongerThanThePause() {
    learn(1);

    assertThat(estimates.localPrefillMillisWithinPause(request)).isBetween(180.0, 230.0);
  }

  /** A pause with another cause, such as a preemption, is no measure of local prefill. */
  @Test
  void aPauseThatThePrefillDoesNotExplainIsIgnored() {
    learn(1);
    double before = estimates.localPrefillMillisWithinPause(request);

    estimates.learnPause(request, 2_000, 100);
    estimates.learnPause(request, 2_000, 0);

    assertThat(estimates.localPrefillMillisWithinPause(request)).isEqualTo(before);
  }

  private void learn(double share) {
    for (int response = 0; response < 40; response++) {
      double pause = estimates.chunkMillis(request) + share * 200;
      estimates.learnPause(request, Math.round(pause), 200);
    }
  }
}
