package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.platform.standin.CallerStandIn;

/** What counts as lost because a server was silent. */
final class SilenceLogTest {

  private static final String REQUEST = "soak-1";
  private static final String HOST = "host-1";
  private static final String SERVER = "i-decode-1";
  private static final long PAUSED_MILLIS = 1_000;
  private static final long BROKEN_OFF_MILLIS = 2_200;

  private final SilenceLog log = new SilenceLog();

  /** Guards against daemons that end a response while its server only pauses. */
  @Test
  void aResponseThatIsBrokenOffBesideAShortPauseIsLost() {
    runAndPause(false);

    log.brokenOff(REQUEST, HOST, BROKEN_OFF_MILLIS, BROKEN_OFF_MILLIS);

    assertThat(log.result().lost()).hasSize(1);
  }

  @Test
  void aResponseThatIsBrokenOffBesideALongPauseIsCountedAndNotLost() {
    runAndPause(true);

    log.brokenOff(REQUEST, HOST, BROKEN_OFF_MILLIS, BROKEN_OFF_MILLIS);

    assertThat(log.result().brokenOff()).isEqualTo(1);
    assertThat(log.result().lost()).isEmpty();
  }

  @Test
  void aResponseOfAServerWithOtherTroubleIsNotJudged() {
    log.troubleBegins(SERVER);
    log.troubleEnds(SERVER, 1);
    runAndPause(false);

    log.brokenOff(REQUEST, HOST, BROKEN_OFF_MILLIS, BROKEN_OFF_MILLIS);

    assertThat(log.result().brokenOff()).isZero();
  }

  @Test
  void aResponseThatEndsAtItsDeadlineIsCountedApart() {
    runAndPause(false);

    log.brokenOff(REQUEST, HOST, CallerStandIn.DEADLINE_MILLIS, CallerStandIn.DEADLINE_MILLIS);

    assertThat(log.result().brokenOff()).isZero();
    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().atDeadline()).isEqualTo(1);
  }

  @Test
  void aResponseWhoseServerDidNotPauseIsNotJudged() {
    log.runArrived(REQUEST, SERVER, 1);

    log.brokenOff(REQUEST, HOST, BROKEN_OFF_MILLIS, BROKEN_OFF_MILLIS);

    assertThat(log.result().brokenOff()).isZero();
  }

  @Test
  void aSecondServerAfterAPauseOfTheFirstIsARepeat() {
    runAndPause(false);

    log.runArrived(REQUEST, "i-decode-2", BROKEN_OFF_MILLIS);

    assertThat(log.result().repeats()).isEqualTo(1);
  }

  private void runAndPause(boolean isLong) {
    log.runArrived(REQUEST, SERVER, 1);
    log.pauseBegins(SERVER, isLong);
    log.pauseEnds(SERVER, isLong, PAUSED_MILLIS);
  }
}
