package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

/** Two daemons that inform each other of cuts before a crash is proven. */
final class CutReportTest {

  private static final long SETTLE_MILLIS = 100;
  private static final long CRASHING = 666;
  private static final int MAXIMUM_REPORTS = 32;
  private static final DaemonId SENDER = new DaemonId("sender", 1);
  private static final UpstreamName FIRST = new UpstreamName("decode-1");
  private static final UpstreamName SECOND = new UpstreamName("decode-2");
  private static final UpstreamName THIRD = new UpstreamName("decode-3");
  private static final SharedPromptPart PART =
      SharedPromptPart.of("assistant", "council", "deadly");

  private final Quarantine here = quarantine();
  private final Quarantine other = quarantine();
  private int requests;

  private static Quarantine quarantine() {
    return new Quarantine(600_000, SETTLE_MILLIS, 100, QuarantineListener.NONE);
  }

  @BeforeEach
  void reportIncarnations() {
    for (UpstreamName upstream : List.of(FIRST, SECOND, THIRD)) {
      here.incarnation(upstream, 1, 0, 0);
      other.incarnation(upstream, 1, 0, 0);
    }
  }

  /** Guards against a content that runs on a third upstream behind another daemon. */
  @Test
  void aContentThatWasCutOnTwoUpstreamsWaitsOnOtherDaemonsForTheProof() {
    cut(FIRST, CRASHING, 1);
    send(1);
    assertThat(other.suspicion(CRASHING, 1)).isEqualTo(Suspicion.SUSPECT);

    cut(SECOND, CRASHING, 2);
    send(2);

    assertThat(other.suspicion(CRASHING, 2)).isEqualTo(Suspicion.UNSETTLED);
  }

  @Test
  void aContentThatWasCutHereAndOnAnotherDaemonWaits() {
    cut(FIRST, CRASHING, 1);
    send(1);
    other.connectionLost(SECOND, start(other, SECOND, CRASHING), 1, 2);

    assertThat(other.suspicion(CRASHING, 2)).isEqualTo(Suspicion.UNSETTLED);
  }

  /** Guards against a proof that adds a crash to the suspicion which it confirms. */
  @Test
  void theProofOfACrashEndsTheSuspicionAndIsCountedOnce() {
    cut(FIRST, CRASHING, 1);
    send(1);
    here.incarnation(FIRST, 2, 2, 2);
    send(2);

    assertThat(other.suspicion(CRASHING, 2)).isEqualTo(Suspicion.SUSPECT);
    assertThat(other.list(2)).extracting(QuarantineEntry::crashes).containsExactly(1);
  }

  /** Guards against sound contents that wait after a network fault although a response came. */
  @Test
  void aResponseOfTheUpstreamEndsTheSuspicionOnOtherDaemons() {
    cut(FIRST, CRASHING, 1, PART);
    send(1);
    assertThat(other.isPartOnTrial(List.of(PART), 1)).isTrue();

    here.incarnation(FIRST, 1, 2, 3);
    send(3);

    assertThat(other.suspicion(CRASHING, 3)).isEqualTo(Suspicion.CLEAR);
    assertThat(other.isPartOnTrial(List.of(PART), 3)).isFalse();
  }

  /** Guards against a suspicion whose sender has ended. */
  @Test
  void aSuspicionEndsByItselfAfterTheSettleTime() {
    cut(FIRST, CRASHING, 1, PART);
    cut(SECOND, CRASHING, 1);
    send(1);
    long endMillis = 1 + SETTLE_MILLIS;

    assertThat(other.suspicion(CRASHING, endMillis - 1)).isEqualTo(Suspicion.UNSETTLED);
    assertThat(other.isPartOnTrial(List.of(PART), endMillis - 1)).isTrue();
    assertThat(other.suspicion(CRASHING, endMillis)).isEqualTo(Suspicion.CLEAR);
    assertThat(other.isPartOnTrial(List.of(PART), endMillis)).isFalse();
  }

  /** Guards against requests of different contents with one part at one daemon after another. */
  @Test
  void aPartThatWasCutOnOneDaemonIsHeldBackOnOthersUntilTheProof() {
    cut(FIRST, CRASHING, 1, PART);
    send(1);

    assertThat(other.isPartOnTrial(List.of(PART), 1)).isTrue();
    here.incarnation(FIRST, 2, 2, 2);
    send(2);
    assertThat(other.isPartOnTrial(List.of(PART), 2)).isFalse();
    assertThat(other.parts(2)).hasSize(1);
  }

  /** Guards against sound requests that wait for a part which their daemon has seen give output. */
  @Test
  void aPartThatGaveOutputIsNotHeldBackByACutOnAnotherDaemon() {
    other.outputReceived(SECOND, start(other, SECOND, 1, PART), 1, 1);

    cut(FIRST, CRASHING, 2, PART);
    send(2);

    assertThat(other.isPartOnTrial(List.of(PART), 2)).isFalse();
  }

  @Test
  void thePartsOfARequestThatGaveOutputAreNotReported() {
    RequestId request = start(here, FIRST, CRASHING, PART);
    here.outputReceived(FIRST, request, 1, 1);
    here.connectionLost(FIRST, request, 1, 1);
    send(1);

    assertThat(other.isPartOnTrial(List.of(PART), 1)).isFalse();
    assertThat(other.suspicion(CRASHING, 1)).isEqualTo(Suspicion.SUSPECT);
  }

  /** Guards against a daemon without network paths that reports all its requests. */
  @Test
  void theReportsOfCutsAreLimitedInEachSettleTime() {
    for (int content = 0; content <= MAXIMUM_REPORTS; content++) {
      cut(FIRST, content, 1);
    }
    assertThat(here.takeCutMessages()).hasSize(MAXIMUM_REPORTS);

    cut(SECOND, CRASHING, 1 + SETTLE_MILLIS);

    assertThat(here.takeCutMessages())
        .containsExactly(
            new CutMessage(
                SECOND, Optional.empty(), List.of(new PartSuspects(CRASHING, List.of()))));
  }

  private void cut(UpstreamName upstream, long content, long nowMillis, SharedPromptPart... parts) {
    RequestId request = start(here, upstream, content, parts);
    here.connectionLost(upstream, request, 1, nowMillis);
  }

  private RequestId start(
      Quarantine at, UpstreamName upstream, long content, SharedPromptPart... parts) {
    RequestId request = new RequestId("request-" + ++requests);
    at.started(upstream, request, 1, content, List.of(parts));
    return request;
  }

  private void send(long nowMillis) {
    here.takeCutMessages().forEach(message -> other.handle(SENDER, message, nowMillis));
    here.takePartMessages()
        .forEach(message -> other.handle(SENDER, (PartCrashMessage) message, nowMillis));
    here.takeMessages().forEach(message -> other.handle(SENDER, message, nowMillis));
  }
}
