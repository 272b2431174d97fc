package org.marjoramsail.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

class MembershipPauseTest {

  private static final long HOST_PAUSE_MILLIS = 1_000;

  private final MembershipSettings settings = MembershipSettings.defaults();
  private final MembershipProtocol protocol =
      new MembershipProtocol(settings, daemon("a"), List.of(), new SplittableRandom(1), 0);
  private long now;

  @Test
  void anIdleDaemonTicksNoMoreOftenThanItPings() {
    int ticks = 0;
    while (now < 10_000) {
      tickWhenDue();
      ticks++;
    }

    assertThat(ticks).isLessThanOrEqualTo((int) (now / settings.probePeriodMillis()) + 1);
  }

  @Test
  void ticksOnScheduleAreNotCountedAsPauses() {
    while (now < 10_000) {
      tickWhenDue();
    }

    assertThat(protocol.statistics().pauses()).isZero();
  }

  /**
   * Guards against false suspicions after a pause of the host: the daemon has to detect the pause
   * even if its next tick was not due soon.
   */
  @Test
  void aVeryLateTickIsCountedAsAPauseOfTheProcess() {
    tickWhenDue();
    now += protocol.pauseMillis(now) + HOST_PAUSE_MILLIS;
    protocol.tick(now);

    assertThat(protocol.statistics().pauses()).isEqualTo(1);
  }

  /** Guards against a late timeout of a suspicion, if ticks were as rare as pings. */
  @Test
  void ticksAreFrequentWhileADaemonIsSuspected() {
    DaemonId sender = daemon("b").id();
    MemberUpdate suspect = daemon("c", Health.SUSPECT);
    protocol.receive(sender, new PingMessage(1, List.of(daemon("b"), daemon("c"))), now);
    assertThat(protocol.pauseMillis(now)).isLessThanOrEqualTo(settings.probePeriodMillis());
    protocol.receive(sender, new PingMessage(2, List.of(suspect)), now);

    assertThat(protocol.pauseMillis(now)).isEqualTo(MembershipSettings.TICK_MILLIS);
  }

  private void tickWhenDue() {
    now += protocol.pauseMillis(now);
    protocol.tick(now);
  }

  private static MemberUpdate daemon(String host) {
    return daemon(host, Health.ALIVE);
  }

  private static MemberUpdate daemon(String host, Health health) {
    return new MemberUpdate(
        host, 1, 0, health, Departure.STAYING, "10.0.0.1", 80, "zone", "region");
  }
}
