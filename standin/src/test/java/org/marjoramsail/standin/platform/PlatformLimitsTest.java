package org.marjoramsail.standin.platform;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.time.ManualClock;

final class PlatformLimitsTest {

  private final ManualClock clock = new ManualClock(1_000);

  @Test
  void theBudgetAllowsItsBurstAndThenItsRate() {
    CallBudget budget = new CallBudget(clock, 100, 50);

    assertThat(taken(budget, 20)).isEqualTo(5);
    clock.advance(20);
    assertThat(taken(budget, 20)).isEqualTo(2);
    clock.advance(60_000);
    assertThat(taken(budget, 20)).isEqualTo(5);
  }

  @Test
  void theHostListShowsEachChangeAfterItsLag() {
    LaggingHostList list =
        new LaggingHostList(clock, new Random(1), new PlatformSettings.HostListLag(500, 0));
    list.add(host("a"));
    clock.advance(300);
    list.markLeaving("a");

    assertThat(list.visible()).isEmpty();
    clock.advance(200);
    assertThat(list.visible()).containsExactly(host("a"));
    clock.advance(300);
    assertThat(list.visible()).containsExactly(host("a").leaving());
  }

  @Test
  void loadsOfWeightsShareOneRate() {
    SharedLink link = new SharedLink(1_000);

    assertThat(link.book(100, 0)).isEqualTo(100);
    assertThat(link.book(100, 50)).isEqualTo(150);
    assertThat(link.book(100, 1_000)).isEqualTo(100);
  }

  private static int taken(CallBudget budget, int tries) {
    int taken = 0;
    for (int call = 0; call < tries; call++) {
      taken += budget.tryTake() ? 1 : 0;
    }
    return taken;
  }

  private static PlatformHost host(String name) {
    return new PlatformHost(
        name,
        PlatformHost.Kind.UPSTREAM,
        "127.0.0.1",
        80,
        "zone",
        "region",
        PlatformHost.State.LIVE);
  }
}
