package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

final class QuarantineTest {

  private static final long LIFETIME_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 100;
  private static final long POISON = 666;
  private static final long INNOCENT = 1;
  private static final DaemonId OTHER_DAEMON = new DaemonId("other", 1);
  private static final UpstreamName FIRST = new UpstreamName("decode-1");
  private static final UpstreamName SECOND = new UpstreamName("decode-2");
  private static final UpstreamName THIRD = new UpstreamName("decode-3");

  private final Quarantine quarantine =
      new Quarantine(LIFETIME_MILLIS, SETTLE_MILLIS, 2, QuarantineListener.NONE);
  private int requests;

  @BeforeEach
  void reportIncarnations() {
    List.of(FIRST, SECOND, THIRD).forEach(name -> quarantine.incarnation(name, 1, 0, 0));
  }

  private RequestId start(UpstreamName upstream, long fingerprint) {
    RequestId request = new RequestId("q" + ++requests);
    quarantine.started(upstream, request, 1, fingerprint);
    return request;
  }

  private void crash(UpstreamName upstream, long nowMillis) {
    assertThat(quarantine.incarnation(upstream, 2, nowMillis, nowMillis)).isTrue();
  }

  private Suspicion suspicion(long fingerprint) {
    return quarantine.suspicion(fingerprint, 10);
  }

  /** Guards against the refusal of a content that only shared an upstream with the cause. */
  @Test
  void theOnlyContentOnTwoCrashedUpstreamsIsRefusedAndOneThatSharedAnUpstreamIsNot() {
    start(FIRST, INNOCENT);
    start(FIRST, POISON);
    crash(FIRST, 1);
    assertThat(List.of(suspicion(INNOCENT), suspicion(POISON))).containsOnly(Suspicion.SUSPECT);
    start(SECOND, POISON);
    crash(SECOND, 2);

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
  }

  /**
   * Guards against the refusal of a content whose cancelled attempt was still on an upstream when
   * another content crashed it.
   */
  @Test
  void contentsOnTheSameCrashedUpstreamsAreRetriedInTurnAndTheLastIsRefusedWithoutARetry() {
    start(SECOND, INNOCENT);
    start(FIRST, INNOCENT);
    start(FIRST, POISON);
    crash(FIRST, 1);
    start(SECOND, POISON);
    crash(SECOND, 2);

    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.UNSETTLED);
    quarantine.completed(INNOCENT, 3);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.CLEAR);
  }

  /** The content that gave output before the crash is the less likely cause. */
  @Test
  void aContentThatGaveOutputIsRetriedBeforeOneThatStartedEarlier() {
    for (UpstreamName upstream : List.of(FIRST, SECOND)) {
      start(upstream, POISON);
      quarantine.outputReceived(upstream, start(upstream, INNOCENT), 1);
      crash(upstream, 1);
    }

    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.UNSETTLED);
  }

  @Test
  void aSuspectIsKeptFromUpstreamsThatMayHoldAnotherSuspect() {
    start(THIRD, INNOCENT);
    start(FIRST, INNOCENT);
    start(FIRST, POISON);
    crash(FIRST, 1);

    assertThat(quarantine.upstreamsWithOtherSuspects(POISON)).containsExactly(THIRD);
    assertThat(quarantine.upstreamsWithOtherSuspects(INNOCENT)).isEmpty();
  }

  /** Guards against contents that are refused because a network fault cut their connections. */
  @Test
  void cutsWithoutProofOfACrashIsolateContentsAndNeverRefuseThem() {
    for (UpstreamName upstream : List.of(FIRST, SECOND)) {
      quarantine.connectionLost(upstream, start(upstream, INNOCENT), 1, 1);
      quarantine.connectionLost(upstream, start(upstream, POISON), 1, 1);
    }

    assertThat(quarantine.suspicion(INNOCENT, 1 + SETTLE_MILLIS)).isEqualTo(Suspicion.SUSPECT);
    assertThat(quarantine.list(1 + SETTLE_MILLIS)).isEmpty();
    quarantine.incarnation(FIRST, 1, 2, 2);
    quarantine.incarnation(SECOND, 1, 2, 2);
    assertThat(quarantine.suspicion(INNOCENT, 1 + SETTLE_MILLIS)).isEqualTo(Suspicion.CLEAR);
  }

  /**
   * Guards against a content that an operator has lifted on one daemon and that others still
   * refuse.
   */
  @Test
  void aListedContentCanBeLiftedHereAndByMessageOnOtherDaemons() {
    Quarantine other = new Quarantine(LIFETIME_MILLIS, SETTLE_MILLIS, 2, QuarantineListener.NONE);
    crashTwoUpstreamsWithPoison();
    quarantine.takeMessages().forEach(message -> other.handle(OTHER_DAEMON, message, 5));
    assertThat(other.suspicion(POISON, 5)).isEqualTo(Suspicion.QUARANTINED);

    assertThat(quarantine.list(10))
        .containsExactly(new QuarantineEntry(POISON, Suspicion.QUARANTINED, 2, 992));
    assertThat(quarantine.lift(POISON, 10)).isTrue();
    assertThat(quarantine.lift(POISON, 10)).isFalse();
    assertThat(quarantine.list(10)).isEmpty();
    quarantine.takeMessages().forEach(message -> other.handle(OTHER_DAEMON, message, 11));
    assertThat(other.suspicion(POISON, 11)).isEqualTo(Suspicion.CLEAR);
  }

  private void crashTwoUpstreamsWithPoison() {
    start(FIRST, POISON);
    crash(FIRST, 1);
    start(SECOND, POISON);
    crash(SECOND, 2);
  }

  @Test
  void aRefusalExpires() {
    crashTwoUpstreamsWithPoison();

    assertThat(quarantine.suspicion(POISON, 1 + LIFETIME_MILLIS)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(quarantine.suspicion(POISON, 2 + LIFETIME_MILLIS)).isEqualTo(Suspicion.CLEAR);
  }

  /** Guards against unbounded memory when many contents each were on a crashed upstream. */
  @Test
  void theOldestContentIsRemovedWhenThereAreTooMany() {
    start(FIRST, INNOCENT);
    crash(FIRST, 1);
    start(SECOND, 2);
    crash(SECOND, 2);
    start(THIRD, 3);
    crash(THIRD, 3);

    assertThat(quarantine.list(10))
        .extracting(QuarantineEntry::fingerprint)
        .containsExactly(2L, 3L);
  }

  /**
   * Guards against a response of a restarted upstream that clears the content which crashed it,
   * when the response arrives before the restart is listed.
   */
  @Test
  void aResponseOfTheNextIncarnationDoesNotClearWhatCrashedTheEarlierOne() {
    RequestId request = start(FIRST, POISON);
    quarantine.connectionLost(FIRST, request, 1, 1);
    quarantine.incarnation(FIRST, 1, 2, 3);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.CLEAR);

    crash(FIRST, 5);

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.SUSPECT);
  }

  /** Guards against a proof that the list shows before the cut is noticed, and that is lost. */
  @Test
  void anUpstreamAtTheAddressThatIsListedBeforeTheCutProvesTheCrash() {
    RequestId request = start(FIRST, POISON);
    quarantine.addressTakenOver(FIRST, 1);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.CLEAR);

    quarantine.connectionLost(FIRST, request, 1, 2);

    assertThat(quarantine.list(10)).extracting(QuarantineEntry::crashes).containsExactly(1);
  }

  /** Guards against a crash of an upstream that was listed at another address since. */
  @Test
  void aCutOfAnAttemptThatStartedAfterTheAddressWasTakenOverProvesNothing() {
    quarantine.addressTakenOver(FIRST, 1);

    quarantine.connectionLost(FIRST, start(FIRST, POISON), 1, 2);

    assertThat(quarantine.list(10)).isEmpty();
  }

  /** Guards against a second crash of the same upstream that is not counted. */
  @Test
  void theSecondCrashOfOneUpstreamCountsLikeTheFirst() {
    start(FIRST, POISON);
    crash(FIRST, 1);
    start(FIRST, POISON);
    assertThat(quarantine.incarnation(FIRST, 3, 2, 2)).isTrue();

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
  }
}
