package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.StreamChunking;

/**
 * Guards against prompts that wait for a busy prefill upstream while decode upstreams have free
 * memory.
 */
class LocalPrefillOverflowTest {

  /** Time of a chunk of eleven tokens, by the initial estimate of the generation rate. */
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
   * Guards against a long local prefill that pauses all streams of a decode upstream for longer
   * than allowed.
   */
  @Test
  void aLocalPrefillIsLimitedByTheLongestPauseThatStreamsAllow() {
    fillPrefillUpstream();

    StreamChunking strict = new StreamChunking(11, 300);
    assertThat(place(request("short").chunking(strict).tokens(2_500, 100)).mode())
        .isEqualTo(GrantMode.LOCAL_PREFILL);
    assertThat(placer.place(request("long").chunking(strict).build(), 0)).isEmpty();
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

  /** Places a long prompt on the prefill upstream, so that the next prompt has to wait for it. */
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
