package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.onlyGrant;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.shortLivedPlacer;

import org.junit.jupiter.api.Test;

/**
 * In each burst streams waited for seconds though decode upstreams had memory for half as many
 * again: the one prefill upstream read eleven prompts a second, and fifteen came.
 */
class OverflowReadingTest {

  private final ReservingPlacer placer = shortLivedPlacer(pool(1, 2, 16));

  @Test
  void decodeUpstreamsReadWhatThePrefillUpstreamHasNoTimeFor() {
    fillReader();

    assertThat(place("r1").mode()).isEqualTo(GrantMode.LOCAL_PREFILL);
  }

  @Test
  void eachReadsOnePromptAtATime() {
    fillReader();

    assertThat(place("r1").target()).isNotEqualTo(place("r2").target());
    assertThat(placer.place(request("r3").build(), 0)).isEmpty();

    assertThat(granted(placer.report(progress("r1", 1, AttemptPhase.GENERATING), 200)))
        .containsExactly("r3");
  }

  @Test
  void aPromptThatWouldKeepAnswersWaitingIsNotReadBesideThem() {
    fillReader();

    assertThat(placer.place(request("long").tokens(20_000, 100).build(), 0)).isEmpty();
  }

  @Test
  void thePrefillUpstreamReadsWhileItHasTime() {
    assertThat(place("r1").mode()).isEqualTo(GrantMode.DISAGGREGATED);
  }

  /** The first prompt is read at once, and the second waits behind it. */
  private void fillReader() {
    assertThat(place("first").mode()).isEqualTo(GrantMode.DISAGGREGATED);
  }

  private Grant place(String name) {
    return onlyGrant(placer.place(request(name).build(), 0));
  }
}
