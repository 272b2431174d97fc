package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Repeatability;

final class RunTimesTest {

  private static final int RECORDED = 200;

  private final RunTimes times = new RunTimes();

  @Test
  void nothingIsKnownOfARouteWithoutRecordedRequests() {
    times.update("other", 1_000);

    assertThat(times.longestMillis("route", Repeatability.AT_MOST_ONCE)).isZero();
  }

  /** Guards against requests that may run once and are begun on the word of few others. */
  @Test
  void aSingleRequestLeavesRoomForLongerOnes() {
    times.update("route", 1_000);

    assertThat(times.longestMillis("route", Repeatability.AT_MOST_ONCE)).isEqualTo(3_000);
    assertThat(times.longestMillis("route", Repeatability.IDEMPOTENT)).isEqualTo(2_000);
  }

  @Test
  void requestsThatAllTakeTheSameTimeAreExpectedToTakeThat() {
    for (int request = 0; request < RECORDED; request++) {
      times.update("route", 1_000);
    }

    assertThat(times.longestMillis("route", Repeatability.AT_MOST_ONCE)).isEqualTo(1_000);
  }

  /** Guards against requests that are begun although a part of them takes much longer. */
  @Test
  void theLongestOfSpreadRequestsIsWithinTheEstimate() {
    for (int request = 0; request < RECORDED; request++) {
      times.update("route", 2_000 + 2_500L * (request % 6) / 5);
    }

    assertThat(times.longestMillis("route", Repeatability.AT_MOST_ONCE)).isBetween(4_500L, 7_000L);
  }
}
