package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class WatchScheduleTest {

  private final WatchSchedule schedule = new WatchSchedule(3_000, new SplittableRandom(1));

  @Test
  void aQuestionWaitsForChangesWhileTheListAnswers() {
    schedule.succeeded();
    assertThat(schedule.waitMillis()).isEqualTo(3_000);
    assertThat(schedule.timeoutMillis()).isBetween(3_000L, 4_000L);
  }

  /**
   * The store was silent for eight seconds. A daemon's question, begun in the silence and meant to
   * wait for four seconds, was still open when the store came back; a new version of the routes was
   * accepted, and the daemon went on refusing a route that it had for three more seconds.
   */
  @Test
  void questionsInAnOutageAreGivenUpSoonAndRepeatedSoon() {
    for (int failure = 0; failure < 20; failure++) {
      assertThat(schedule.failed()).isLessThanOrEqualTo(750);
      assertThat(schedule.waitMillis()).isZero();
      assertThat(schedule.timeoutMillis()).isLessThanOrEqualTo(1_800);
    }
  }

  /**
   * A store dropped its history. In that second a daemon's question was answered without changes
   * and with a revision behind a new version of the routes, which the daemon then never heard of.
   */
  @Test
  void anAnswerThatPassesChangesInSilenceHasTheListReadAgain() {
    assertThat(schedule.mustRelist(0, 5, 7)).isTrue();
    assertThat(schedule.mustRelist(0, 5, 5)).isFalse();
    assertThat(schedule.mustRelist(1, 5, 7)).isFalse();
  }

  @Test
  void aSlowListIsGivenMoreTimeWithEachFailure() {
    schedule.failed();
    long first = schedule.timeoutMillis();
    schedule.failed();
    assertThat(schedule.timeoutMillis()).isGreaterThan(first);
    schedule.succeeded();
    assertThat(schedule.timeoutMillis()).isEqualTo(3_700);
  }

  /**
   * Forty upstreams registered one after the other while a fleet started. Each of them answered the
   * open question of every daemon, which asked again at once: forty calls of the store a daemon in
   * two seconds, and no time left for requests.
   */
  @Test
  void upstreamsThatRegisterOneAfterTheOtherCostFewQuestions() {
    long now = 0;
    int questions = 0;
    while (now < 2_000) {
      questions++;
      now += 50 + schedule.gatherMillis(1);
    }

    assertThat(questions).isLessThanOrEqualTo(5);
    assertThat(schedule.gatherMillis(0)).isZero();
  }

  /**
   * A connection to the store went silent without a reset. A new version of the routes was accepted
   * at the first moment at which the daemon had to be in touch again; the open question still
   * waited for an answer that could not come.
   */
  @Test
  void aSilentQuestionIsGivenUpEarlyEnoughForTheBoundsOfThePlatform() {
    for (double recovery : new double[] {3_000, 5_000}) {
      for (double bound : new double[] {2_000, 4_000}) {
        WatchSchedule bounded =
            new WatchSchedule(
                WatchSchedule.longestWaitMillis(recovery, bound), new SplittableRandom(1));
        long knownMillis = bounded.timeoutMillis() + bounded.failed() + bounded.gatherMillis(1);

        assertThat(knownMillis).isLessThan((long) (recovery + bound));
        assertThat(bounded.gatherMillis(1)).isLessThan((long) (bound / 5));
      }
    }
    assertThat(WatchSchedule.longestWaitMillis(0, 0)).isEqualTo(1_000);
    assertThat(WatchSchedule.longestWaitMillis(1e9, 1e9)).isEqualTo(20_000);
  }
}
