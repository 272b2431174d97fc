package org.marjoramsail.standin.server;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;

final class ScaledTimeTest {

  private final ManualClock clock = new ManualClock(500);

  @Test
  void timePassesSoManyTimesFaster() {
    ScaledTime time = new ScaledTime(clock, 20);
    clock.advance(3);

    assertThat(time.micros()).isEqualTo(60_000);
  }

  @Test
  void aStallStandsStillAndThenGoesOnFromThere() {
    ScaledTime time = new ScaledTime(clock, 1);
    clock.advance(10);
    time.stall(100);
    clock.advance(60);
    time.stall(10);

    assertThat(time.millis()).isEqualTo(10);
    assertThat(time.stalledForMillis()).isEqualTo(40);
    clock.advance(45);
    assertThat(time.millis()).isEqualTo(15);
  }

  @Test
  void aReportIsSeenOnlyOnceItHasReachedTheLag() {
    StatusHistory<String> history = new StatusHistory<>(250, 200, 0, "first");
    history.observe(249, () -> "too early");
    history.observe(250, () -> "second");

    assertThat(history.visible(449)).isEqualTo(new StatusHistory.Aged<>("first", 449));
    assertThat(history.visible(450)).isEqualTo(new StatusHistory.Aged<>("second", 200));
  }
}
