package org.marjoramsail.daemon.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;

/** How late an event loop is. */
final class EventLoopDelayTest {

  private final ManualClock clock = new ManualClock(1_000);
  private final SimpleMeterRegistry meters = new SimpleMeterRegistry();
  private final EventLoopDelay delay = new EventLoopDelay(clock, meters);

  @BeforeEach
  void begin() {
    delay.begin();
  }

  @Test
  void aTaskThatRunsOnTimeHasNoDelay() {
    runAfter(EventLoopDelay.INTERVAL_MILLIS);

    assertThat(delay.maximumMillis()).isZero();
  }

  @Test
  void theGaugeShowsTheLongestDelay() {
    runAfter(EventLoopDelay.INTERVAL_MILLIS + 1_400);
    runAfter(0);
    runAfter(EventLoopDelay.INTERVAL_MILLIS + 3);

    assertThat(meters.get("marjoramsail.event.loop.delay.millis").gauge().value()).isEqualTo(1_400);
  }

  @Test
  void aDelayIsShownForTenSecondsAndForgottenAfterTwenty() {
    runAfter(EventLoopDelay.INTERVAL_MILLIS + 1_400);
    long shownAfterTenSeconds = maximumAfter(10_000);
    long shownAfterTwentySeconds = maximumAfter(10_000);

    assertThat(shownAfterTenSeconds).isEqualTo(1_400);
    assertThat(shownAfterTwentySeconds).isZero();
  }

  private long maximumAfter(long millis) {
    for (long passed = 0; passed < millis; passed += EventLoopDelay.INTERVAL_MILLIS) {
      runAfter(EventLoopDelay.INTERVAL_MILLIS);
    }
    return delay.maximumMillis();
  }

  private void runAfter(long millis) {
    clock.advance(millis);
    delay.ran();
  }
}
