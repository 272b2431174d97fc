package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.marjoramsail.core.placement.PlacementFixtures.ended;
import static org.marjoramsail.core.placement.PlacementFixtures.granted;
import static org.marjoramsail.core.placement.PlacementFixtures.poolWithMemory;
import static org.marjoramsail.core.placement.PlacementFixtures.refused;
import static org.marjoramsail.core.placement.PlacementFixtures.request;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.ServiceClass;

/** Tests what operators see of a request that waits for the memory of an engine. */
class EngineMemoryShortageTest {

  private static final long TARGET = 1_000;

  private final ReservingPlacer placer = PlacementFixtures.placer(poolWithMemory(1, 1, 16, 10_000));

  /** Guards against a lack of memory that operators see as a lack of slots. */
  @Test
  void aRequestThatWaitsForMemoryLacksNoSlot() {
    place("first", 6_000);
    place("second", 6_000);

    ShardView view = placer.view(0);
    assertThat(view.waiting().get(0).missing()).isEqualTo("engine-memory");
    assertThat(view.waiting().get(0).memoryTokens()).isEqualTo(6_010);
    assertThat(decode(view).memoryTokens()).isEqualTo(10_000);
    assertThat(decode(view).plannedTokens()).isBetween(6_000, 6_020);
  }

  @Test
  void theRefusalStatesTheNeededAndTheFreeMemory() {
    place("first", 6_000);
    place("second", 6_000);

    List<PlacementResult.Refused> refused = refused(placer.tick(TARGET));

    assertThat(refused.get(0).refusal().detail())
        .contains("engine-memory (6000 prompt and up to 10 output tokens; at most 39")
        .contains("free on one engine");
  }

  /** Guards against a margin by which a request that fits an empty engine never starts. */
  @Test
  void aRequestThatFillsAnEngineStartsOnceTheEngineIsEmpty() {
    place("first", 6_000);
    placer.place(request("large").tokens(9_880, 100).serviceClass(ServiceClass.QUICK).build(), 0);

    assertThat(granted(placer.report(ended("first", 1, AttemptResult.COMPLETED), 1)))
        .containsExactly("large");
  }

  private static ShardView.UpstreamView decode(ShardView view) {
    return view.upstreams().stream()
        .filter(upstream -> upstream.name().value().equals("decode-0"))
        .findFirst()
        .orElseThrow();
  }

  private void place(String name, int promptTokens) {
    placer.place(
        request(name)
            .tokens(promptTokens, 10)
            .serviceClass(ServiceClass.QUICK)
            .within(TARGET, 14_000)
            .build(),
        0);
  }
}
