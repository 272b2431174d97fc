package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WatchScheduleTest {

  private static final long SHORTEST_RESPONSE_MILLIS = 700;

  private final WatchSchedule schedule = new WatchSchedule(3_000, new SplittableRandom(1));

  @Test
  void aRequestWaitsForChangesWhileTheListResponds() {
    schedule.succeeded();
    assertThat(schedule.waitMillis()).isEqualTo(3_000);
    assertThat(schedule.timeoutMillis()).isBetween(3_000L, 4_000L);
  }

  /**
   * Guards against a long watch request that started in an outage and delays changes after its end.
   */
  @Test
  void requestsInAnOutageTimeOutSoonAndAreRepeatedSoon() {
    for (int failure = 0; failure < 20; failure++) {
      assertThat(schedule.failed()).isLessThanOrEqualTo(750);
      assertThat(schedule.waitMillis()).isZero();
      assertThat(schedule.timeoutMillis()).isLessThanOrEqualTo(1_800);
    }
  }

  /** Guards against changes that a store leaves out of a response while it compacts its history. */
  @Test
  void aResponseThatSkipsChangesHasTheListReadAgain() {
    assertThat(schedule.mustRelist(0, 5, 7)).isTrue();
    assertThat(schedule.mustRelist(0, 5, 5)).isFalse();
    assertThat(schedule.mustRelist(1, 5, 7)).isFalse();
  }

  @Test
  void theTimeoutRisesWithEachFailure() {
    schedule.failed();
    long first = schedule.timeoutMillis();
    schedule.failed();
    assertThat(schedule.timeoutMillis()).isGreaterThan(first);
    schedule.succeeded();
    assertThat(schedule.timeoutMillis()).isEqualTo(3_700);
  }

  /** Guards against a request for each upstream and daemon while many upstreams register. */
  @Test
  void upstreamsThatRegisterOneAfterAnotherCauseFewRequests() {
    long now = 0;
    int requests = 0;
    while (now < 2_000) {
      requests++;
      now += 50 + schedule.gatherMillis(1);
    }

    assertThat(requests).isLessThanOrEqualTo(5);
    assertThat(schedule.gatherMillis(0)).isZero();
  }

  /**
   * Guards against a dead connection on which a request waits beyond the time in which a daemon has
   * to be up to date, also if the first request after it fails.
   */
  @Test
  void aRequestOnADeadConnectionTimesOutWithinThePlatformsBounds() {
    for (double recovery : new double[] {3_000, 5_000}) {
      WatchSchedule bounded =
          new WatchSchedule(WatchSchedule.longestWaitMillis(recovery), new SplittableRandom(1));
      long knownMillis = bounded.timeoutMillis() + bounded.failed();
      knownMillis += SHORTEST_RESPONSE_MILLIS + bounded.gatherMillis(1);

      assertThat(knownMillis).isLessThanOrEqualTo((long) recovery);
      assertThat(bounded.gatherMillis(1)).isLessThan(400);
    }
    assertThat(WatchSchedule.longestWaitMillis(0)).isEqualTo(1_000);
    assertThat(WatchSchedule.longestWaitMillis(1e9)).isEqualTo(20_000);
  }
}
