package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;

/**
 * Guards against granting requests by their present lengths, which then outgrow the memory and are
 * preempted, and by their full lengths, which leave memory idle.
 */
class MemoryForecastTest {

  private static final double MILLIS_PER_TOKEN = 5;

  private final MemoryForecast forecast = new MemoryForecast(OutputLengthDistribution.exact());

  @Test
  void oneRequestNeedsItsPromptAndItsWholeOutput() {
    assertThat(forecast.peakTokensWith(3_000, 800, 0, MILLIS_PER_TOKEN)).isEqualTo(3_800);
  }

  @Test
  void requestsThatGrowConcurrentlyNeedTheSumOfTheirLengths() {
    add("a", 0);

    assertThat(forecast.peakTokensWith(3_000, 800, 0, MILLIS_PER_TOKEN)).isEqualTo(7_600);
  }

  @Test
  void aRequestThatEndsSoonFreesMemoryForTheNext() {
    add("a", 0);

    // The first request has 100 tokens left: the new one occupies 3,100 when it ends, 3,800 later.
    double peak = forecast.peakTokensWith(3_000, 800, 700 * 5, MILLIS_PER_TOKEN);

    assertThat(peak).isBetween(3_000 + 3_700.0 + 2 * 100, 3_000 + 3_700.0 + 2 * 120 + 1);
  }

  @Test
  void aRequestLongerThanPredictedIsExpectedToGrowFurther() {
    add("a", 0);

    double peak = forecast.peakTokensWith(0, 1, 2_000 * 5, MILLIS_PER_TOKEN);

    assertThat(peak).isGreaterThan(3_000 + 2_000);
  }

  @Test
  void aRequestThatIsNotGeneratingDoesNotGrow() {
    forecast.add(new RequestId("a"), 3_000, 800);

    assertThat(forecast.peakTokensWith(0, 1, 1_000_000, MILLIS_PER_TOKEN)).isLessThan(3_802);
  }

  @Test
  void anEndedRequestNeedsNoMemory() {
    add("a", 0);
    forecast.remove(new RequestId("a"));

    assertThat(forecast.peakTokensWith(3_000, 800, 0, MILLIS_PER_TOKEN)).isEqualTo(3_800);
  }

  private void add(String name, long sinceMillis) {
    forecast.add(new RequestId(name), 3_000, 800);
    forecast.generationStarted(new RequestId(name), sinceMillis);
  }
}
