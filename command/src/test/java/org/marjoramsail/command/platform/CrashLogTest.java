package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

/** What counts as sent on although its content has crashed several servers. */
final class CrashLogTest {

  private static final String CONTENT = "crash-1";
  private static final long LATE_MILLIS = 3_003;

  private final CrashLog log = new CrashLog(CrashLog.CONTENT);

  /** Guards against daemons that go on sending a content that crashes one server after another. */
  @Test
  void aContentThatIsSentOnFourTimesIsInExcess() {
    crash(3);

    send(4, LATE_MILLIS, true);

    assertThat(log.result().excess()).hasSize(1);
  }

  @Test
  void threeFurtherSendsAreAllowed() {
    crash(3);

    send(3, LATE_MILLIS, true);

    assertThat(log.result().late()).isEqualTo(3);
    assertThat(log.result().excess()).isEmpty();
  }

  @Test
  void sendsSoonAfterTheThirdCrashAndOfDaemonsWithAFaultDoNotCount() {
    crash(3);

    send(4, LATE_MILLIS - 1, true);
    send(4, LATE_MILLIS, false);

    assertThat(log.result().late()).isZero();
  }

  @Test
  void aContentThatCrashedTwoServersIsNotJudged() {
    crash(2);

    send(4, LATE_MILLIS, true);

    assertThat(log.result().late()).isZero();
  }

  @Test
  void thePrefillAndTheRunOfARequestAreOneSend() {
    crash(3);

    log.arrived("request-0", true, true, LATE_MILLIS);
    log.arrived("request-0", false, true, LATE_MILLIS);

    assertThat(log.result().late()).isEqualTo(1);
  }

  /** Records crashes of servers, one millisecond apart, by requests with one content. */
  private void crash(int count) {
    for (int crash = 0; crash < count; crash++) {
      log.requested("request-" + crash, CONTENT);
      log.crashed("request-" + crash, crash);
    }
  }

  private void send(int count, long atMillis, boolean isInTouch) {
    for (int send = 0; send < count; send++) {
      String request = "request-" + atMillis + "-" + send;
      log.requested(request, CONTENT);
      log.arrived(request, false, isInTouch, atMillis);
    }
  }
}
