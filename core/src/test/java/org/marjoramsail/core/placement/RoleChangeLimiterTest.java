package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class RoleChangeLimiterTest {

  private static final RoleChange FIRST = change("engine-1");
  private static final RoleChange SECOND = change("engine-2");

  private static final int SMALL_POOL = 10;

  private final RoleChangeLimiter limiter = new RoleChangeLimiter();

  /** Guards against a second change while an order without a response may still be carried out. */
  @Test
  void anEngineIsNotChangedAgainWhileAnEarlierOrderMayStillTakeEffect() {
    limiter.queried(FIRST.upstream(), 0);

    assertThat(limiter.allowed(List.of(FIRST, SECOND), 13_999)).containsExactly(SECOND);
    assertThat(limiter.allowed(List.of(FIRST, SECOND), 14_000)).containsExactly(FIRST, SECOND);
  }

  @Test
  void aSmallPoolChangesAtMostTwoEnginesAtATime() {
    limiter.started(FIRST);
    assertThat(limiter.mayStartAnother(SMALL_POOL)).isTrue();

    limiter.started(SECOND);
    assertThat(limiter.mayStartAnother(SMALL_POOL)).isFalse();
  }

  /**
   * Guards against a change of roles in a large pool that takes longer than the burst that requires
   * it.
   */
  @Test
  void aLargePoolChangesUpToOneEngineInEightAtATime() {
    for (int number = 0; number < 4; number++) {
      assertThat(limiter.mayStartAnother(34)).isTrue();
      limiter.started(change("engine-" + number));
    }

    assertThat(limiter.mayStartAnother(34)).isFalse();
  }

  @Test
  void aChangeEndsWhenItIsObservedOrWhenItsIntervalHasPassed() {
    start(FIRST, 0);
    start(SECOND, 0);

    assertThat(limiter.takeEnded(FIRST::equals, 1_000)).containsExactly(FIRST);
    assertThat(limiter.takeEnded(change -> false, 13_999)).isEmpty();
    assertThat(limiter.takeEnded(change -> false, 14_000)).containsExactly(SECOND);
    assertThat(limiter.isChanging()).isFalse();
  }

  @Test
  void aRefusedOrderIsNotInProgress() {
    start(FIRST, 0);

    assertThat(limiter.refused(FIRST)).isTrue();
    assertThat(limiter.refused(FIRST)).isFalse();
    assertThat(limiter.mayStartAnother(SMALL_POOL)).isTrue();
  }

  private void start(RoleChange change, long nowMillis) {
    limiter.queried(change.upstream(), nowMillis);
    limiter.started(change);
  }

  private static RoleChange change(String upstream) {
    return new RoleChange(new UpstreamName(upstream), UpstreamRole.DECODE);
  }
}
