package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.QuarantineListener;
import org.marjoramsail.core.outcome.Suspicion;
import org.marjoramsail.core.time.ManualClock;

class UpstreamLivenessTest {

  private static final UpstreamName ENGINE = new UpstreamName("i-1");
  private static final long FINGERPRINT = 7;

  /** Time after which a cut without a proof is no longer awaited. */
  private static final long UNDECIDED_MILLIS = 3_000;

  private final ManualClock clock = new ManualClock(10_000);
  private final Quarantine quarantine = new Quarantine(60_000, 500, 100, QuarantineListener.NONE);
  private final List<UpstreamName> restarted = new ArrayList<>();
  private final List<Long> ends = new ArrayList<>();
  private final UpstreamLiveness liveness =
      new UpstreamLiveness(quarantine, clock, this::restarted, () -> {});

  private void restarted(UpstreamName upstream, long endedAtMillis) {
    restarted.add(upstream);
    ends.add(endedAtMillis);
  }

  /** Guards against streams of a restarted upstream that are ended with those of its last start. */
  @Test
  void theEndOfTheEarlierIncarnationIsWhenItsConnectionsWereLost() {
    liveness.listed(engine(1_000));
    clock.advance(5_000);
    liveness.connectionLost(ENGINE);
    clock.advance(1_000);

    liveness.listed(engine(15_900));

    assertThat(ends).containsExactly(15_000L);
  }

  /** Guards against streams that stay on an upstream since it once closed another connection. */
  @Test
  void aConnectionThatWasLostLongBeforeARestartIsNotTheEndOfTheEarlierIncarnation() {
    liveness.listed(engine(1_000));
    liveness.connectionLost(ENGINE);
    clock.advance(60_000);

    liveness.listed(engine(65_000));

    assertThat(ends).containsExactly(Long.MAX_VALUE);
  }

  /** Guards against streams that stay on an upstream whose end nothing has shown. */
  @Test
  void nothingOutlivesAnIncarnationWhoseEndWasNotSeen() {
    liveness.listed(engine(1_000));
    clock.advance(5_000);
    liveness.listed(engine(12_000));
    liveness.listed(engine(99_000));

    assertThat(ends).containsExactly(Long.MAX_VALUE, Long.MAX_VALUE);
  }

  @Test
  void aLaterStartIsReportedAsARestart() {
    liveness.listed(engine(1_000));
    liveness.listed(engine(1_000));
    assertThat(restarted).isEmpty();

    liveness.listed(engine(2_000));

    assertThat(restarted).containsExactly(ENGINE);
  }

  /** Guards against a late entry of an earlier incarnation that ends what runs on the later one. */
  @Test
  void anEarlierStartEndsNothingIfNoConnectionHasEnded() {
    liveness.listed(engine(2_000));
    RequestId request = new RequestId("q1");
    quarantine.started(ENGINE, request, 1, FINGERPRINT);

    liveness.listed(engine(1_000));

    assertThat(ends).containsExactly(Long.MIN_VALUE);
    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.CLEAR);
  }

  /** Guards against a restart that is not seen since the clock of the upstream was ahead before. */
  @Test
  void anEarlierStartEndsWhatWasSentBeforeAConnectionEnded() {
    liveness.listed(engine(9_000));
    cut(ENGINE);
    liveness.connectionLost(ENGINE);
    clock.advance(1_000);

    liveness.listed(engine(8_000));

    assertThat(ends).containsExactly(10_000L);
    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }

  /** Guards against a late response of the earlier incarnation that counts as a restart. */
  @Test
  void aLateResponseOfAnEarlierIncarnationIsNoRestart() {
    liveness.listed(engine(9_000));
    liveness.listed(engine(8_000));
    quarantine.started(ENGINE, new RequestId("q1"), 1, FINGERPRINT);

    liveness.responded(new Incarnation(ENGINE, 9_000), clock.millis());

    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.CLEAR);
  }

  @Test
  void anUpstreamWithoutAStartTimeIsNeverReportedAsRestarted() {
    liveness.listed(definition(ENGINE, 8_000));
    liveness.listed(definition(ENGINE, 8_000));

    assertThat(restarted).isEmpty();
  }

  /**
   * Guards against a list read after a crash that counts as a response of the crashed engine and so
   * clears the prompt that crashed it.
   */
  @Test
  void anEntryInTheListDoesNotClearTheSuspicionOfACrash() {
    liveness.listed(engine(1_000));
    cut(ENGINE);

    liveness.listed(engine(1_000));
    liveness.connectionRefused(ENGINE);

    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }

  /** Guards against a crash that is hidden by a restart under another name. */
  @Test
  void anotherUpstreamAtTheAddressProvesACrashSecondsAfterTheCut() {
    liveness.listed(definition(ENGINE, 8_000));
    cut(ENGINE);
    clock.advance(UNDECIDED_MILLIS);
    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.CLEAR);

    liveness.listed(definition(new UpstreamName("i-2"), 8_000));

    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }

  /** Guards against innocent contents that become suspect when a daemon loses its network paths. */
  @Test
  void aRefusalProvesNoCrashUntilAnotherUpstreamIsReachedDirectly() {
    Incarnation other = new Incarnation(new UpstreamName("i-2"), 1_000);
    liveness.reached(other.upstream(), clock.millis());
    cut(ENGINE);
    liveness.connectionRefused(ENGINE);
    liveness.responded(other, clock.millis() + 1);
    liveness.connectionRefused(ENGINE);
    clock.advance(UNDECIDED_MILLIS);
    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.CLEAR);

    liveness.reached(other.upstream(), clock.millis());
    liveness.connectionRefused(ENGINE);

    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }

  private void cut(UpstreamName upstream) {
    RequestId request = new RequestId("q1");
    quarantine.started(upstream, request, 1, FINGERPRINT);
    quarantine.connectionLost(upstream, request, 1, clock.millis());
  }

  private static UpstreamDefinition engine(long startedAtMillis) {
    return definition(ENGINE, 8_000).withStartTime(startedAtMillis);
  }

  private static UpstreamDefinition definition(UpstreamName name, int port) {
    return new UpstreamDefinition(
        name, "service", UpstreamRole.DECODE, "10.0.0.1", port, "zone", "region", 1, true, false);
  }
}
