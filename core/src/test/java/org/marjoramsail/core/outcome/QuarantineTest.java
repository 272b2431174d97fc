package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;

final class QuarantineTest {

  private static final long LIFETIME_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 100;
  private static final long POISON = 666;
  private static final long INNOCENT = 1;
  private static final UpstreamName FIRST = new UpstreamName("decode-1");
  private static final UpstreamName SECOND = new UpstreamName("decode-2");
  private static final UpstreamName THIRD = new UpstreamName("decode-3");

  private final Quarantine quarantine = new Quarantine(LIFETIME_MILLIS, SETTLE_MILLIS, 2);
  private int requests;

  @BeforeEach
  void learnIncarnations() {
    List.of(FIRST, SECOND, THIRD).forEach(name -> quarantine.incarnation(name, 1, 0, 0));
  }

  private RequestId runs(UpstreamName upstream, long fingerprint) {
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

  /** A neighbour's summary is refused: it shared an engine with a prompt that crashes engines. */
  @Test
  void theContentThatAloneWasOnTwoCrashedUpstreamsIsRefusedAndItsFellowIsNot() {
    runs(FIRST, INNOCENT);
    runs(FIRST, POISON);
    crash(FIRST, 1);
    assertThat(List.of(suspicion(INNOCENT), suspicion(POISON))).containsOnly(Suspicion.SUSPECT);
    runs(SECOND, POISON);
    crash(SECOND, 2);

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
  }

  /**
   * The same summary is refused although it never ran beside that prompt again: an engine still
   * held an earlier attempt of it, whose cancel had not arrived, when the prompt crashed it.
   */
  @Test
  void twoThatExplainTheSameCrashesAreTriedInTurnAndTheLastOneIsRefusedUntried() {
    runs(SECOND, INNOCENT);
    runs(FIRST, INNOCENT);
    runs(FIRST, POISON);
    crash(FIRST, 1);
    runs(SECOND, POISON);
    crash(SECOND, 2);

    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.UNSETTLED);
    quarantine.completed(INNOCENT, 3);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.CLEAR);
  }

  /** The prompt was there first, and only its fellow had given tokens before the crash. */
  @Test
  void theOneThatShowedLifeIsTriedBeforeTheOneThatWasThereLonger() {
    for (UpstreamName upstream : List.of(FIRST, SECOND)) {
      runs(upstream, POISON);
      quarantine.outputReceived(upstream, runs(upstream, INNOCENT), 1);
      crash(upstream, 1);
    }

    assertThat(suspicion(INNOCENT)).isEqualTo(Suspicion.SUSPECT);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.UNSETTLED);
  }

  @Test
  void aSuspectIsKeptFromUpstreamsThatMayHoldAnotherSuspect() {
    runs(THIRD, INNOCENT);
    runs(FIRST, INNOCENT);
    runs(FIRST, POISON);
    crash(FIRST, 1);

    assertThat(quarantine.upstreamsWithOtherSuspects(POISON)).containsExactly(THIRD);
    assertThat(quarantine.upstreamsWithOtherSuspects(INNOCENT)).isEmpty();
  }

  /** The network hiccups and two connections break; both contents are taken for dangerous. */
  @Test
  void cutsWithoutAProofKeepApartAndNeverRefuse() {
    for (UpstreamName upstream : List.of(FIRST, SECOND)) {
      quarantine.connectionLost(upstream, runs(upstream, INNOCENT), 1, 1);
      quarantine.connectionLost(upstream, runs(upstream, POISON), 1, 1);
    }

    assertThat(quarantine.suspicion(INNOCENT, 1 + SETTLE_MILLIS)).isEqualTo(Suspicion.SUSPECT);
    assertThat(quarantine.list(1 + SETTLE_MILLIS)).isEmpty();
    quarantine.incarnation(FIRST, 1, 2, 2);
    quarantine.incarnation(SECOND, 1, 2, 2);
    assertThat(quarantine.suspicion(INNOCENT, 1 + SETTLE_MILLIS)).isEqualTo(Suspicion.CLEAR);
  }

  /** An operator is asked why a request is refused, lifts it, and other daemons go on refusing. */
  @Test
  void whatIsListedCanBeLiftedHereAndByMessageEverywhere() {
    Quarantine other = new Quarantine(LIFETIME_MILLIS, SETTLE_MILLIS, 2);
    refusePoison();
    quarantine.takeMessages().forEach(message -> other.handle(message, 5));
    assertThat(other.suspicion(POISON, 5)).isEqualTo(Suspicion.QUARANTINED);

    assertThat(quarantine.list(10))
        .containsExactly(new QuarantineEntry(POISON, Suspicion.QUARANTINED, 2, 992));
    assertThat(quarantine.lift(POISON, 10)).isTrue();
    assertThat(quarantine.lift(POISON, 10)).isFalse();
    assertThat(quarantine.list(10)).isEmpty();
    quarantine.takeMessages().forEach(message -> other.handle(message, 11));
    assertThat(other.suspicion(POISON, 11)).isEqualTo(Suspicion.CLEAR);
  }

  private void refusePoison() {
    runs(FIRST, POISON);
    crash(FIRST, 1);
    runs(SECOND, POISON);
    crash(SECOND, 2);
  }

  @Test
  void aRefusalIsForgottenAfterItsTime() {
    refusePoison();

    assertThat(quarantine.suspicion(POISON, 1 + LIFETIME_MILLIS)).isEqualTo(Suspicion.QUARANTINED);
    assertThat(quarantine.suspicion(POISON, 2 + LIFETIME_MILLIS)).isEqualTo(Suspicion.CLEAR);
  }

  /** Thousands of contents that each met a crash fill the daemon's memory. */
  @Test
  void theOldestContentIsForgottenWhenThereAreTooMany() {
    runs(FIRST, INNOCENT);
    crash(FIRST, 1);
    runs(SECOND, 2);
    crash(SECOND, 2);
    runs(THIRD, 3);
    crash(THIRD, 3);

    assertThat(quarantine.list(10))
        .extracting(QuarantineEntry::fingerprint)
        .containsExactly(2L, 3L);
  }

  /**
   * A prompt crashed an engine that was back under its name in no time. Its first answer came
   * before the list said that it had started again, and looked like one of the life before.
   */
  @Test
  void anAnswerFromTheNextLifeDoesNotClearWhatCrashedTheOneBefore() {
    RequestId request = runs(FIRST, POISON);
    quarantine.connectionLost(FIRST, request, 1, 1);
    quarantine.incarnation(FIRST, 1, 2, 3);
    assertThat(suspicion(POISON)).isEqualTo(Suspicion.CLEAR);

    crash(FIRST, 5);

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.SUSPECT);
  }

  /** A server crashed a second time under its name; what ran on it then is suspect as well. */
  @Test
  void theSecondCrashUnderOneNameCountsLikeTheFirst() {
    runs(FIRST, POISON);
    crash(FIRST, 1);
    runs(FIRST, POISON);
    assertThat(quarantine.incarnation(FIRST, 3, 2, 2)).isTrue();

    assertThat(suspicion(POISON)).isEqualTo(Suspicion.QUARANTINED);
  }
}
