package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Repeatability;

/**
 * Guards against retries that an upstream's pause spends, and against retries that come too late.
 */
final class ForwardingRulesTest {

  @Test
  void aStreamWhoseCallerWaitsLongIsRequestedElsewhereLater() {
    assertThat(eventStallMillis(900, 300)).isEqualTo(1_800);
  }

  @Test
  void aStreamWhoseCallerWaitsTwoSecondsIsRequestedElsewhereBeforeItDisconnects() {
    assertThat(eventStallMillis(350, 100)).isEqualTo(1_200);
  }

  private static long eventStallMillis(long targetMillis, long gapTargetMillis) {
    return ForwardingRules.policyOf(route(targetMillis, gapTargetMillis), 0).tokenStallMillis();
  }

  private static Route route(long targetMillis, long gapTargetMillis) {
    return new Route(
        "summaries",
        "desk.example",
        "/summaries/",
        Repeatability.REPEATABLE,
        true,
        14_000,
        targetMillis,
        gapTargetMillis,
        1,
        2,
        List.of(new WeightedService("assistant", 1)));
  }
}
