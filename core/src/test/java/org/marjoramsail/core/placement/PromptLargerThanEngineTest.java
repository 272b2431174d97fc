package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.progress;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.ServiceClass;

/**
 * Guards against requests that fit no engine, wait for memory until their target, and delay those
 * behind them.
 */
class PromptLargerThanEngineTest {

  private static final int ENGINE_TOKENS = 10_000;

  private final ReservingPlacer placer =
      PlacementFixtures.placer(poolWithMemory(1, 2, 16, ENGINE_TOKENS));

  @Test
  void aRequestThatFitsNoEngineIsRefusedAtOnce() {
    place("first", 6_000);
    List<PlacementResult.Refused> refused = refused(place("too-large", ENGINE_TOKENS));

    assertThat(refused).hasSize(1);
    assertThat(refused.get(0).refusal().reason()).isEqualTo(RefusalReason.PROMPT_TOO_LARGE);
    assertThat(refused.get(0).refusal().runState()).isEqualTo(RunState.NOT_RUN);
    assertThat(refused.get(0).refusal().retryAfterMillis()).isEmpty();
    assertThat(refused.get(0).refusal().detail()).contains("10000").contains("lector/litoral/0");
  }

  @Test
  void itDelaysNoOtherRequest() {
    place("too-large", ENGINE_TOKENS);

    assertThat(granted(place("next", 6_000))).containsExactly("next");
  }

  /** Guards against refusals where the memory of the engines is not configured. */
  @Test
  void noRequestIsTooLargeForEnginesOfUnknownMemory() {
    ReservingPlacer unlimited = PlacementFixtures.placer(PlacementFixtures.pool(1, 1, 16));

    assertThat(granted(unlimited.place(large(), 0))).containsExactly("large");
  }

  private static PlacementRequest large() {
    return request("large").tokens(1_000_000, 10).serviceClass(ServiceClass.TIMELY).build();
  }

  private List<PlacementResult> place(String name, int promptTokens) {
    PlacementRequest request =
        request(name)
            .tokens(promptTokens, 100)
            .serviceClass(ServiceClass.TIMELY)
            .within(10_000, 14_000)
            .build();
    List<PlacementResult> results = placer.place(request, 0);
    placer.report(progress(name, 1, AttemptPhase.PREFILLED), 0);
    return results;
  }
}
