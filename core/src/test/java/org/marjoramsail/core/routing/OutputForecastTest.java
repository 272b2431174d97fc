package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.OptionalInt;
import org.junit.jupiter.api.Test;

class OutputForecastTest {

  private final OutputForecast forecast = new OutputForecast();

  @Test
  void withoutDataTheEstimateIsAShareOfTheMaximum() {
    assertThat(forecast.expectedTokens("r", 1_000, OptionalInt.empty())).isEqualTo(450);
  }

  @Test
  void theEstimateConvergesToTheMeanOfTheRoute() {
    for (int output = 0; output < 200; output++) {
      forecast.update("r", 1_000, 800);
    }
    assertThat(forecast.expectedTokens("r", 1_000, OptionalInt.empty())).isBetween(798, 800);
    assertThat(forecast.expectedTokens("other", 1_000, OptionalInt.empty())).isEqualTo(450);
  }

  @Test
  void aCallersEstimateIsBlendedWithTheMeanAndCappedAtTheMaximum() {
    assertThat(forecast.expectedTokens("r", 1_000, OptionalInt.of(100))).isEqualTo(310);
    assertThat(forecast.expectedTokens("r", 1_000, OptionalInt.of(1_000_000))).isEqualTo(1_000);
  }
}
