package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;
import org.marjoramsail.platform.standin.CallerStandIn;

/** Which calls without a complete response count as lost by their daemon. */
final class LossLogTest {

  private static final String REQUEST = "soak-1";
  private static final String HOST = "host-1";
  private static final String SERVER = "i-plain-1";
  private static final String CAUSE = "Connection reset";
  private static final int PORT = 40_000;
  private static final long SENT_MILLIS = 100_000;
  private static final long SOON_MILLIS = SENT_MILLIS + 30;
  private static final long LATER_MILLIS = SENT_MILLIS + 201;

  private final LossLog log = new LossLog();

  /** Guards against a reset at the end of a process of a call that a server works on. */
  @Test
  void aCallThatReachedAServerIsLostAtAStop() {
    log.stopBegins(HOST, SENT_MILLIS - 3_000);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertThat(log.result().stops()).isEqualTo(1);
    assertThat(log.result().lostByStop()).containsOnlyKeys(HOST + " at " + (SENT_MILLIS - 3_000));
    assertLost(UnansweredCall.Phase.STOP, UnansweredCall.Reason.PASSED_ON);
  }

  /** Guards against a request that is read and dropped. */
  @Test
  void aCallThatReachedNoServerIsLostWhenItWasSentLongBeforeItsEnd() {
    log.stopBegins(HOST, SENT_MILLIS - 3_000);
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    log.unanswered(REQUEST, LATER_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.STOP, UnansweredCall.Reason.NOT_PASSED_ON);
  }

  /** Guards against a request behind a broken response that counts as dropped by its daemon. */
  @Test
  void anUnreadCallIsNotJudgedBehindAResponseThatADisturbedServerBrokeOff() {
    sendBehindBrokenResponse(PORT);
    log.disturbanceBegins(SERVER, SENT_MILLIS);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().disturbed()).hasSize(2);
  }

  /** Guards against an excuse for calls behind a response that the daemon broke off by itself. */
  @Test
  void anUnreadCallIsLostBehindAResponseOfACalmServerThatWasBrokenOff() {
    sendBehindBrokenResponse(PORT);

    assertThat(log.result().lost()).hasSize(2);
  }

  /** Guards against an excuse for calls whose connection had no broken response. */
  @Test
  void anUnreadCallIsLostBesideAResponseThatWasBrokenOffOnAnotherConnection() {
    sendBehindBrokenResponse(PORT + 1);
    log.disturbanceBegins(SERVER, SENT_MILLIS);

    assertThat(log.result().lost()).hasSize(1);
  }

  /** Guards against a request that counts as lost behind a response that ends at its deadline. */
  @Test
  void anUnreadCallIsNotLostBehindAResponseThatWasBrokenOffAfterItsCallerGaveUp() {
    sendBehindResponseAtDeadline(PORT);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().atDeadline()).isEqualTo(2);
  }

  /** Guards against an excuse for calls whose connection had no response at its deadline. */
  @Test
  void anUnreadCallIsLostBesideAResponseAtItsDeadlineOnAnotherConnection() {
    sendBehindResponseAtDeadline(PORT + 1);

    assertLost("behind", UnansweredCall.Reason.NOT_PASSED_ON);
  }

  /** Guards against an excuse for a call that its daemon had passed on. */
  @Test
  void aCallThatReachedAServerIsLostBehindAResponseAtItsDeadline() {
    sendBehindResponseAtDeadline(PORT);
    log.arrived("behind", SERVER);

    assertLost("behind", UnansweredCall.Reason.PASSED_ON);
  }

  /** Guards against an excuse by a call that ended on its connection some time before. */
  @Test
  void anUnreadCallIsLostSomeTimeAfterAResponseAtItsDeadline() {
    passOn();
    log.gaveUp(REQUEST);
    long endMillis = SENT_MILLIS + CallerStandIn.DEADLINE_MILLIS + 1_000;
    log.brokenOffAfterDeadline(REQUEST, endMillis);
    log.sent("behind", HOST, PORT, endMillis - 250);
    log.unanswered("behind", endMillis + 51, CAUSE);

    assertLost("behind", UnansweredCall.Reason.NOT_PASSED_ON);
  }

  /** Guards against an excuse by a call that was given up and has no part in the close. */
  @Test
  void anUnreadCallIsLostBehindACallThatReachedNoServerEither() {
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);
    endBehind(PORT);

    assertLost("behind", UnansweredCall.Reason.NOT_PASSED_ON);
  }

  private void sendBehindResponseAtDeadline(int port) {
    passOn();
    endBehind(port);
  }

  private void endBehind(int port) {
    log.gaveUp(REQUEST);
    long endMillis = SENT_MILLIS + CallerStandIn.DEADLINE_MILLIS + 1_000;
    log.sent("behind", HOST, port, endMillis - 250);
    log.unanswered("behind", endMillis, CAUSE);
    log.brokenOffAfterDeadline(REQUEST, endMillis + 1);
  }

  private void assertLost(String request, UnansweredCall.Reason reason) {
    assertThat(log.result().lost())
        .singleElement()
        .satisfies(call -> assertThat(call.request()).isEqualTo(request))
        .satisfies(call -> assertThat(call.reason()).isEqualTo(reason));
  }

  private void sendBehindBrokenResponse(int port) {
    passOn();
    log.sent("behind", HOST, port, SENT_MILLIS);
    log.unanswered("behind", LATER_MILLIS, CAUSE);
    log.unanswered(REQUEST, LATER_MILLIS + 1, CAUSE);
  }

  @Test
  void aCallThatReachedNoServerAndCrossedTheEndOfItsConnectionIsNotLost() {
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    log.unanswered(REQUEST, LATER_MILLIS - 1, CAUSE);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().crossed()).hasSize(1);
  }

  /** Guards against a reload that breaks off calls. */
  @Test
  void aCallIsLostAtAReload() {
    log.reloadBegins(HOST, SENT_MILLIS);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertThat(log.result().reloads()).isEqualTo(1);
    assertLost(UnansweredCall.Phase.RELOAD, UnansweredCall.Reason.PASSED_ON);
  }

  /** Guards against a daemon that closes a connection on which a request runs. */
  @Test
  void aCallIsLostAtADaemonThatWasNotTouched() {
    log.stopBegins("host-2", SENT_MILLIS);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.CALM, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aCallAfterTheGraceOfAStopIsOneOfACalmDaemon() {
    log.stopBegins(HOST, SOON_MILLIS - 9_001);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.CALM, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aCallThatWasNeverSentIsNotLost() {
    log.unanswered(REQUEST, LATER_MILLIS, "Connection refused");

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().crossed()).isEmpty();
  }

  @Test
  void aCallThatEndsAtItsDeadlineIsNotLost() {
    passOn();

    log.unanswered(REQUEST, SENT_MILLIS + CallerStandIn.DEADLINE_MILLIS, "timeout");

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().atDeadline()).isEqualTo(1);
  }

  @Test
  void aCallWhoseCallerGaveUpIsNotLost() {
    passOn();

    log.gaveUp(REQUEST);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().atDeadline()).isEqualTo(1);
  }

  @Test
  void aCallAtAServerThatWorksUntilTheLastSixthOfTheGraceIsNotLost() {
    log.stopBegins(HOST, SENT_MILLIS - 3_000);
    passOn();

    log.unanswered(REQUEST, SENT_MILLIS - 3_000 + 6_666, CAUSE);

    assertThat(log.result().lost()).isEmpty();
  }

  @Test
  void aCallBehindAnAnnouncedCloseThatReachedNoServerIsNotLost() {
    log.stopBegins(HOST, SENT_MILLIS - 3_000);
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    log.unansweredBehindClose(REQUEST, LATER_MILLIS, CAUSE);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().count(UnansweredCall.Phase.STOP, UnansweredCall.Reason.BEHIND_CLOSE))
        .isEqualTo(1);
  }

  /** Guards against a connection that is closed as announced while a later request runs on it. */
  @Test
  void aCallBehindAnAnnouncedCloseThatReachedAServerIsLost() {
    log.stopBegins(HOST, SENT_MILLIS - 3_000);
    passOn();

    log.unansweredBehindClose(REQUEST, SOON_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.STOP, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aCallWhoseConnectionIsRefusedIsNotLost() {
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);

    log.refused(REQUEST);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().crossed()).isEmpty();
    assertThat(log.result().notSent()).isEqualTo(1);
  }

  @Test
  void aCallThatIsSentLaterIsLostInTheLastSixthOfTheGrace() {
    log.stopBegins(HOST, SENT_MILLIS - 6_000);
    passOn();

    log.unanswered(REQUEST, SENT_MILLIS - 6_000 + 6_666, CAUSE);

    assertLost(UnansweredCall.Phase.STOP, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aCallIsNotJudgedWithinThreeSecondsAfterADisturbanceOfItsDaemon() {
    disturb(HOST, SENT_MILLIS - 3_000);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertThat(log.result().lost()).isEmpty();
    assertThat(log.result().disturbed())
        .extracting(UnansweredCall::request)
        .containsExactly(REQUEST);
  }

  @Test
  void aCallIsJudgedAgainAfterThat() {
    disturb(HOST, SENT_MILLIS - 3_001);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.CALM, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aDisturbanceThatBeganAndEndedDuringTheCallExcusesIt() {
    passOn();
    disturb(HOST, SENT_MILLIS + 10);

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertThat(log.result().lost()).isEmpty();
  }

  @Test
  void aCallIsNotLostByADaemonWhoseServerCrashedAndIsRecordedAfterwards() {
    passOn();
    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    log.disturbanceBegins(SERVER, SOON_MILLIS + 20);

    assertThat(log.result().lost()).isEmpty();
  }

  @Test
  void aDisturbanceOfAnotherServerExcusesNothing() {
    disturb("i-plain-2", SENT_MILLIS);
    passOn();

    log.unanswered(REQUEST, SOON_MILLIS, CAUSE);

    assertLost(UnansweredCall.Phase.CALM, UnansweredCall.Reason.PASSED_ON);
  }

  @Test
  void aCallIsNotJudgedWhileTheSoakItselfStoodStill() {
    passOn();
    log.unanswered(REQUEST, LATER_MILLIS, CAUSE);

    log.stalled(SENT_MILLIS + 10, LATER_MILLIS);

    assertThat(log.result().lost()).isEmpty();
  }

  private void passOn() {
    log.sent(REQUEST, HOST, PORT, SENT_MILLIS);
    log.arrived(REQUEST, SERVER);
  }

  private void disturb(String part, long untilMillis) {
    log.disturbanceBegins(part, untilMillis - 1);
    log.disturbanceEnds(part, untilMillis);
  }

  private void assertLost(UnansweredCall.Phase phase, UnansweredCall.Reason reason) {
    assertThat(log.result().lost()).hasSize(1);
    assertThat(log.result().count(phase, reason)).isEqualTo(1);
  }
}
