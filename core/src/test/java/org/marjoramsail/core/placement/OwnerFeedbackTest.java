package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ENTRY;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.pool;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.request;
import static org.marjoramsail.core.placement.PlacementFixtures.startedAt;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.UpstreamName;

/** Tests how an owner applies the feedback of upstreams that hosts relay. */
class OwnerFeedbackTest {

  private static final long FIRST_START = 1_000;
  private static final long NEXT_START = 2_000;
  private static final int REQUESTS = 40;

  private final Configuration engines = startedAt(pool(2, 4, 16), FIRST_START);
  private final ReservingPlacer placer = PlacementFixtures.placer(engines);

  /** The limited prefill upstream gets prompts at its stated rate; the other one is unaffected. */
  @Test
  void aPrefillUpstreamWithARateLimitGetsNoMorePromptsThanThat() {
    placer.acceptFeedback(limit("prefill-0", FIRST_START, 2, 0), ENTRY, 0);

    List<PlacementResult> results = place(0);

    assertThat(prefilledBy(results, "prefill-0")).isLessThanOrEqualTo(2);
    assertThat(prefilledBy(results, "prefill-1")).isPositive();
  }

  @Test
  void aCompletedPrefillWithoutARateLimitEndsTheLimit() {
    placer.acceptFeedback(limit("prefill-0", FIRST_START, 2, 0), ENTRY, 0);
    place(100);
    List<String> prefilled = granted(place(600));
    assertThat(placer.takeAcceptedFeedback()).hasSize(1);

    for (String name : prefilled) {
      placer.report(progress(name, 1, AttemptPhase.PREFILLED), 700);
    }

    assertThat(stateOf("prefill-0")).isNotEqualTo("limited");
    assertThat(placer.takeAcceptedFeedback())
        .singleElement()
        .matches(accepted -> accepted.requestsPerSecond().isEmpty());
  }

  /** A host may relay old feedback after others have relayed that the limit has ended. */
  @Test
  void outdatedFeedbackDoesNotRestoreARateLimit() {
    placer.acceptFeedback(limit("decode-0", FIRST_START, 2, 0), ENTRY, 0);
    for (String name : granted(place(1_000))) {
      placer.report(ended(name, 1, AttemptResult.COMPLETED), 1_500);
    }
    assertThat(stateOf("decode-0")).isNotEqualTo("limited");

    placer.acceptFeedback(limit("decode-0", FIRST_START, 2, 1_900), ENTRY, 2_000);

    assertThat(stateOf("decode-0")).isNotEqualTo("limited");
  }

  @Test
  void feedbackOfAnIncarnationEndsWithIt() {
    placer.acceptFeedback(leaving("decode-0", FIRST_START), ENTRY, 0);
    placer.acceptFeedback(limit("decode-1", FIRST_START, 2, 0), ENTRY, 0);
    assertThat(stateOf("decode-0")).isEqualTo("leaving");
    assertThat(stateOf("decode-1")).isEqualTo("limited");

    placer.configure(startedAt(engines, NEXT_START), 100);
    placer.acceptFeedback(leaving("decode-0", FIRST_START), ENTRY, 200);
    placer.acceptFeedback(limit("decode-1", FIRST_START, 2, 150), ENTRY, 200);

    assertThat(stateOf("decode-0")).isEqualTo("slow-start");
    assertThat(stateOf("decode-1")).isEqualTo("slow-start");
  }

  private List<PlacementResult> place(long nowMillis) {
    List<PlacementResult> results = new ArrayList<>(placer.tick(nowMillis));
    for (int number = 0; number < REQUESTS; number++) {
      results.addAll(placer.place(request(nowMillis + "-" + number).build(), nowMillis));
    }
    return results;
  }

  private static long prefilledBy(List<PlacementResult> results, String prefill) {
    Optional<UpstreamName> prefillUpstream = Optional.of(new UpstreamName(prefill));
    return results.stream()
        .filter(PlacementResult.Granted.class::isInstance)
        .map(PlacementResult.Granted.class::cast)
        .filter(result -> result.grant().prefill().equals(prefillUpstream))
        .count();
  }

  private String stateOf(String upstream) {
    return placer.view(0).upstreams().stream()
        .filter(view -> view.name().value().equals(upstream))
        .map(ShardView.UpstreamView::state)
        .findFirst()
        .orElseThrow();
  }

  private static RelayedFeedback limit(
      String upstream, long startedAt, double perSecond, long ageMillis) {
    return new RelayedFeedback(
        new UpstreamName(upstream), startedAt, Optional.of(perSecond), false, ageMillis);
  }

  private static RelayedFeedback leaving(String upstream, long startedAt) {
    return new RelayedFeedback(new UpstreamName(upstream), startedAt, Optional.empty(), true, 0);
  }
}
