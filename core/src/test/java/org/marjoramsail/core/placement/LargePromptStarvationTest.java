package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against large prompts that are not served since small ones take the memory of engines. */
class LargePromptStarvationTest {

  private static final long LOAD_MILLIS = 60_000;

  /** Smallest share of the benefit of a kind that has to be earned. */
  private static final double LEAST_BENEFIT = 0.38;

  /** Smallest ratio of the served share of the largest requests of a kind to that of the kind. */
  private static final double LEAST_RATIO_OF_LARGEST = 0.5;

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void largePromptsAreServedBesideBurstsOfSmallOnes(long seed) {
    MixedPromptSimulation simulation = new MixedPromptSimulation(2, 5, 26_910, seed);
    simulation.load("large", 1.2, 13_300, 3_000, LOAD_MILLIS);
    simulation.load("small", 5.5, 0, 3_000, LOAD_MILLIS);
    simulation.run();

    String outcome = simulation.toString();
    assertThat(simulation.benefit("large")).as(outcome).isGreaterThan(LEAST_BENEFIT);
    assertThat(simulation.benefit("small")).as(outcome).isGreaterThan(LEAST_BENEFIT);
    assertThat(simulation.servedShareOfLargestTenth("large"))
        .as(outcome)
        .isGreaterThan(LEAST_RATIO_OF_LARGEST * simulation.servedShare("large"));
  }

  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6})
  void theLargestTenthIsServedHalfAsOftenAsAllInTwiceTheLoad(long seed) {
    MixedPromptSimulation simulation = new MixedPromptSimulation(2, 3, 29_250, seed);
    simulation.load("summary", 8, 0, 3_000, LOAD_MILLIS);
    simulation.run();

    String outcome = simulation.toString();
    assertThat(simulation.benefit("summary")).as(outcome).isGreaterThan(LEAST_BENEFIT);
    assertThat(simulation.servedShareOfLargestTenth("summary"))
        .as(outcome)
        .isGreaterThan(LEAST_RATIO_OF_LARGEST * simulation.servedShare("summary"));
  }
}
