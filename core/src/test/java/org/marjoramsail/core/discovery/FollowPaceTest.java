package org.marjoramsail.core.discovery;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class FollowPaceTest {

  private final FollowPace pace = new FollowPace(3_000, new SplittableRandom(1));

  @Test
  void aQuestionWaitsForChangesWhileTheListAnswers() {
    pace.succeeded();
    assertThat(pace.waitMillis()).isEqualTo(3_000);
    assertThat(pace.giveUpMillis()).isBetween(3_000L, 4_000L);
  }

  /**
   * The store was silent for eight seconds. A daemon's question, begun in the silence and meant to
   * wait for four seconds, was still open when the store came back; a new version of the routes was
   * accepted, and the daemon went on refusing a route that it had for three more seconds.
   */
  @Test
  void questionsInAnOutageAreGivenUpSoonAndRepeatedSoon() {
    for (int failure = 0; failure < 20; failure++) {
      assertThat(pace.failed()).isLessThanOrEqualTo(750);
      assertThat(pace.waitMillis()).isZero();
      assertThat(pace.giveUpMillis()).isLessThanOrEqualTo(1_800);
    }
  }

  /**
   * A store dropped its history. In that second a daemon's question was answered without changes
   * and with a revision behind a new version of the routes, which the daemon then never heard of.
   */
  @Test
  void anAnswerThatPassesChangesInSilenceHasTheListReadAgain() {
    assertThat(pace.mustReadAgain(0, 5, 7)).isTrue();
    assertThat(pace.mustReadAgain(0, 5, 5)).isFalse();
    assertThat(pace.mustReadAgain(1, 5, 7)).isFalse();
  }

  @Test
  void aSlowListIsGivenMoreTimeWithEachFailure() {
    pace.failed();
    long first = pace.giveUpMillis();
    pace.failed();
    assertThat(pace.giveUpMillis()).isGreaterThan(first);
    pace.succeeded();
    assertThat(pace.giveUpMillis()).isEqualTo(3_700);
  }
}
