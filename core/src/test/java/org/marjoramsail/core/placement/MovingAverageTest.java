package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.Test;

class MovingAverageTest {

  /**
   * Guards against an initial value that is far too large and outweighs the samples for too long,
   * so that requests are refused for waits that do not exist.
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
