package org.marjoramsail.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

final class DrainLogTest {

  private static final long BOUND_MILLIS = 2_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final long START_MILLIS = 10_000;

  private final Disturbances disturbances = new Disturbances(SETTLE_MILLIS);
  private final DrainLog log = new DrainLog(BOUND_MILLIS, disturbances);

  @Test
  void anArrivalAfterTheBoundIsLate() {
    drainAndArrive(BOUND_MILLIS + 1);

    assertThat(log.lateArrivals())
        .containsExactly(
            new DrainLog.LateArrival("request-1", "host-1", "upstream-1", BOUND_MILLIS + 1));
  }

  @Test
  void anArrivalWithinTheBoundIsNotLate() {
    drainAndArrive(BOUND_MILLIS);

    assertThat(log.lateArrivals()).isEmpty();
    assertThat(log.arrivals()).isEqualTo(1);
  }

  @Test
  void anArrivalOverAPathThatWasDisturbedLatelyIsNotLate() {
    disturbances.begin("upstream-1");
    disturbances.end("upstream-1", START_MILLIS);

    drainAndArrive(SETTLE_MILLIS - 1);

    assertThat(log.lateArrivals()).isEmpty();
  }

  @Test
  void anArrivalFromAHostThatIsDisturbedIsNotLate() {
    disturbances.begin("host-1");

    drainAndArrive(BOUND_MILLIS + 1);

    assertThat(log.lateArrivals()).isEmpty();
  }

  @Test
  void anAcknowledgementOfADisturbedStoreDoesNotCount() {
    disturbances.begin(DrainLog.STORE);
    log.acknowledged("upstream-1", START_MILLIS);
    disturbances.end(DrainLog.STORE, START_MILLIS);

    log.requested("request-1", "host-1");
    log.arrived("request-1", "upstream-1", START_MILLIS + 2 * SETTLE_MILLIS);

    assertThat(log.lateArrivals()).isEmpty();
  }

  private void drainAndArrive(long afterMillis) {
    log.acknowledged("upstream-1", START_MILLIS);
    log.requested("request-1", "host-1");
    log.arrived("request-1", "upstream-1", START_MILLIS + afterMillis);
  }
}
