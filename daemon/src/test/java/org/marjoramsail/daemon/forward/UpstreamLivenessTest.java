package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.QuarantineListener;
import org.marjoramsail.core.outcome.Suspicion;
import org.marjoramsail.core.time.ManualClock;

class UpstreamLivenessTest {

  private static final UpstreamName ENGINE = new UpstreamName("i-1");
  private static final long FINGERPRINT = 7;

  private final ManualClock clock = new ManualClock(10_000);
  private final Quarantine quarantine = new Quarantine(60_000, 500, 100, QuarantineListener.NONE);
  private final List<UpstreamName> restarted = new ArrayList<>();
  private final UpstreamLiveness liveness = new UpstreamLiveness(quarantine, clock, restarted::add);

  @Test
  void aLaterStartIsReportedAsARestart() {
    liveness.listed(new Incarnation(ENGINE, 1_000));
    liveness.listed(new Incarnation(ENGINE, 1_000));
    assertThat(restarted).isEmpty();

    liveness.listed(new Incarnation(ENGINE, 2_000));

    assertThat(restarted).containsExactly(ENGINE);
  }

  /** Guards against a late entry of an earlier incarnation, written after that of the later one. */
  @Test
  void anEarlierStartIsNotReportedAsARestart() {
    liveness.listed(new Incarnation(ENGINE, 2_000));

    liveness.listed(new Incarnation(ENGINE, 1_000));

    assertThat(restarted).isEmpty();
  }

  @Test
  void anUpstreamWithoutAStartTimeIsNeverReportedAsRestarted() {
    liveness.listed(new Incarnation(ENGINE, Incarnation.UNKNOWN_START));
    liveness.listed(new Incarnation(ENGINE, Incarnation.UNKNOWN_START));

    assertThat(restarted).isEmpty();
  }

  /**
   * Guards against a list read after a crash that counts as a response of the crashed engine and so
   * clears the prompt that crashed it.
   */
  @Test
  void anEntryInTheListDoesNotClearTheSuspicionOfACrash() {
    RequestId request = new RequestId("q1");
    liveness.listed(new Incarnation(ENGINE, 1_000));
    quarantine.started(ENGINE, request, 1, FINGERPRINT);
    quarantine.connectionLost(ENGINE, request, 1, clock.millis());

    liveness.listed(new Incarnation(ENGINE, 1_000));
    liveness.connectionFailed(ENGINE);

    assertThat(quarantine.suspicion(FINGERPRINT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }
}
