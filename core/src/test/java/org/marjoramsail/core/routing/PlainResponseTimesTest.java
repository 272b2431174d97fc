package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Repeatability;

class PlainResponseTimesTest {

  private static final Route ROUTE =
      new Route(
          "r",
          "h",
          "/r/",
          Repeatability.IDEMPOTENT,
          false,
          2_000,
          400,
          0,
          0,
          2,
          List.of(new WeightedService("desk", 1)));

  private final PlainResponseTimes times = new PlainResponseTimes();

  @Test
  void aRequestToAFastServiceIsRetriedElsewhereBeforeItsTarget() {
    times.update("desk", 50);
    assertThat(ForwardingRules.policyOf(ROUTE, times.overdueMillis("desk")).responseStallMillis())
        .isEqualTo(280);
  }

  /**
   * Guards against a retry storm: if requests are abandoned before a slow server responds and are
   * then repeated, none of them ever completes.
   */
  @Test
  void aRequestToAServiceThatHasBecomeSlowIsNotAbandonedEarly() {
    for (int response = 0; response < 50; response++) {
      times.update("desk", 350);
    }
    assertThat(ForwardingRules.policyOf(ROUTE, times.overdueMillis("desk")).responseStallMillis())
        .isEqualTo(1_050);
  }

  @Test
  void responseTimesAreTrackedPerService() {
    times.update("other", 1_000);
    assertThat(times.overdueMillis("desk")).isZero();
  }
}
