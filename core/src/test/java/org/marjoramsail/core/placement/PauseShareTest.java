package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Pieces;

/**
 * Engines that read a prompt in small parts between the tokens of other answers let them wait for
 * hardly more than usual; others let them wait for the whole prompt. One bound for both kept the
 * first kind idle in a burst, or made ten answers late at a time on the second.
 */
class PauseShareTest {

  private static final long PAUSE_MILLIS = 300;

  private final PlacementEstimates estimates =
      new PlacementEstimates(PlacementSettings.forShortLivedCaches());
  private final PlacementRequest request =
      request("r").pieces(new Pieces(10, PAUSE_MILLIS)).build();

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

  /** A stream was preempted for a second; that says nothing about reading. */
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
