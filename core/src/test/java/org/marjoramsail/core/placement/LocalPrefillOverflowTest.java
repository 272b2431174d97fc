package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Pieces;

/**
 * In each burst streams waited for seconds though decode upstreams had memory for half as many
 * again: the one prefill upstream read eleven prompts a second, and fifteen came.
 */
class LocalPrefillOverflowTest {

  /** Eleven tokens, as the first guess of their pace has it. */
  private static final long CHUNK_MILLIS = 50;

  private final ReservingPlacer placer = shortLivedPlacer(pool(1, 2, 16));

  @Test
  void decodeUpstreamsPrefillPromptsWhileThePrefillUpstreamIsBusy() {
    fillPrefillUpstream();

    assertThat(place("r1").mode()).isEqualTo(GrantMode.LOCAL_PREFILL);
  }

  @Test
  void eachDecodeUpstreamPrefillsOnePromptAtATime() {
    fillPrefillUpstream();

    assertThat(place("r1").target()).isNotEqualTo(place("r2").target());
    assertThat(placer.place(request("r3").build(), 0)).isEmpty();

    assertThat(granted(placer.report(progress("r1", 1, AttemptPhase.GENERATING), 200))).isEmpty();
    assertThat(granted(placer.tick(200 + CHUNK_MILLIS - 1))).isEmpty();
    assertThat(granted(placer.tick(200 + CHUNK_MILLIS + 1))).containsExactly("r3");
  }

  /**
   * Each lookup of a long report was read by an engine that answered ten others, and all ten paused
   * for longer than their callers accept: no error, no refusal, ten late answers for one.
   */
  @Test
  void aLocalPrefillIsLimitedByTheLongestPauseThatStreamsAllow() {
    fillPrefillUpstream();

    Pieces strict = new Pieces(11, 300);
    assertThat(place(request("short").pieces(strict).tokens(2_500, 100)).mode())
        .isEqualTo(GrantMode.LOCAL_PREFILL);
    assertThat(placer.place(request("long").pieces(strict).build(), 0)).isEmpty();
  }

  @Test
  void aPromptThatWouldDelayRunningStreamsIsNotPrefilledLocally() {
    fillPrefillUpstream();

    assertThat(placer.place(request("long").tokens(20_000, 100).build(), 0)).isEmpty();
  }

  @Test
  void thePrefillUpstreamIsUsedWhileItIsNotBusy() {
    assertThat(place("r1").mode()).isEqualTo(GrantMode.DISAGGREGATED);
  }

  /** The first prompt is read at once, and the second waits behind it. */
  private void fillPrefillUpstream() {
    Grant first = onlyGrant(placer.place(request("first").tokens(20_000, 100).build(), 0));
    assertThat(first.mode()).isEqualTo(GrantMode.DISAGGREGATED);
  }

  private Grant place(String name) {
    return place(request(name));
  }

  private Grant place(PlacementFixtures.RequestBuilder request) {
    return onlyGrant(placer.place(request.build(), 0));
  }
}
