package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class MovingAverageTest {

  /**
   * After all daemons were killed in a burst, the new owner guessed that a slot is held for a
   * second, where it is held for a twelfth of one. Forty answers later it still refused most
   * lookups for waits that did not exist.
   */
  @Test
  void anInitialValueThatIsTenTimesTooLargeIsOutweighedByTwelveSamples() {
    MovingAverage average = new MovingAverage(1_000);

    for (int sample = 0; sample < 12; sample++) {
      average.observe(80);
    }

    assertThat(average.value()).isBetween(80.0, 200.0);
  }

  @Test
  void oneOutlierMovesTheAverageByABoundedAmount() {
    MovingAverage average = new MovingAverage(100);
    for (int sample = 0; sample < 50; sample++) {
      average.observe(100);
    }

    average.observe(1_000_000);

    assertThat(average.value()).isCloseTo(130, within(0.001));
  }

  @Test
  void invalidSamplesAreIgnored() {
    MovingAverage average = new MovingAverage(100);

    average.observe(0);
    average.observe(-5);
    average.observe(Double.NaN);
    average.observe(Double.POSITIVE_INFINITY);

    assertThat(average.value()).isEqualTo(100);
  }
}
