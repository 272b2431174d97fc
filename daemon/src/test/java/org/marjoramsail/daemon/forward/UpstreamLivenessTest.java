package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.outcome.Quarantine;
import org.marjoramsail.core.outcome.Suspicion;
import org.marjoramsail.core.time.ManualClock;

class UpstreamLivenessTest {

  private static final UpstreamName ENGINE = new UpstreamName("i-1");
  private static final long CONTENT = 7;

  private final ManualClock clock = new ManualClock(10_000);
  private final Quarantine quarantine = new Quarantine(60_000, 500, 100);
  private final List<UpstreamName> startedAgain = new ArrayList<>();
  private final UpstreamLiveness lives = new UpstreamLiveness(quarantine, clock, startedAgain::add);

  @Test
  void aLaterStartEndsWhatRanBefore() {
    lives.listed(new Incarnation(ENGINE, 1_000));
    lives.listed(new Incarnation(ENGINE, 1_000));
    assertThat(startedAgain).isEmpty();

    lives.listed(new Incarnation(ENGINE, 2_000));

    assertThat(startedAgain).containsExactly(ENGINE);
  }

  /** What an earlier life had still to write came after the entry of the later one. */
  @Test
  void anEarlierStartEndsNothing() {
    lives.listed(new Incarnation(ENGINE, 2_000));

    lives.listed(new Incarnation(ENGINE, 1_000));

    assertThat(startedAgain).isEmpty();
  }

  @Test
  void anUpstreamThatNeverSaysWhenItStartedNeverStartsAgain() {
    lives.listed(new Incarnation(ENGINE, Incarnation.UNKNOWN_START));
    lives.listed(new Incarnation(ENGINE, Incarnation.UNKNOWN_START));

    assertThat(startedAgain).isEmpty();
  }

  /**
   * An engine crashed with its entry still in the list, and the list was read again. Taken for a
   * sign of life, that would have cleared the prompt that crashed it.
   */
  @Test
  void anEntryInTheListProvesNoLifeAfterACut() {
    RequestId request = new RequestId("q1");
    lives.listed(new Incarnation(ENGINE, 1_000));
    quarantine.started(ENGINE, request, 1, CONTENT);
    quarantine.connectionLost(ENGINE, request, 1, clock.millis());

    lives.listed(new Incarnation(ENGINE, 1_000));
    lives.refuses(ENGINE);

    assertThat(quarantine.suspicion(CONTENT, clock.millis())).isEqualTo(Suspicion.SUSPECT);
  }
}
