package org.marjoramsail.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class RoleChangePaceTest {

  private static final RoleChange FIRST = change("engine-1");
  private static final RoleChange SECOND = change("engine-2");

  private static final int SMALL_POOL = 10;

  private final RoleChangePace pace = new RoleChangePace();

  /** An order got no answer and was carried out twelve seconds later, after the next one. */
  @Test
  void anEngineThatWasOrderedIsLeftAloneUntilALateOrderIsOver() {
    pace.asked(FIRST.upstream(), 0);

    assertThat(pace.allowed(List.of(FIRST, SECOND), 13_999)).containsExactly(SECOND);
    assertThat(pace.allowed(List.of(FIRST, SECOND), 14_000)).containsExactly(FIRST, SECOND);
  }

  @Test
  void noMoreThanTwoEnginesAreOutAtATime() {
    pace.began(FIRST);
    assertThat(pace.hasRoom(SMALL_POOL)).isTrue();

    pace.began(SECOND);
    assertThat(pace.hasRoom(SMALL_POOL)).isFalse();
  }

  /**
   * A deployment of 34 engines began with twelve that read, where five were enough, and callers
   * waited for memory of the others. Two at a time, the change took longer than the rush.
   */
  @Test
  void ofALargePoolOneInEightMayBeOut() {
    for (int number = 0; number < 4; number++) {
      assertThat(pace.hasRoom(34)).isTrue();
      pace.began(change("engine-" + number));
    }

    assertThat(pace.hasRoom(34)).isFalse();
  }

  @Test
  void aChangeEndsWhenItIsSeenOrWhenItsEngineWasLeftAloneForLong() {
    begin(FIRST, 0);
    begin(SECOND, 0);

    assertThat(pace.ended(FIRST::equals, 1_000)).containsExactly(FIRST);
    assertThat(pace.ended(change -> false, 13_999)).isEmpty();
    assertThat(pace.ended(change -> false, 14_000)).containsExactly(SECOND);
    assertThat(pace.isChanging()).isFalse();
  }

  @Test
  void aRefusedOrderIsNotUnderWay() {
    begin(FIRST, 0);

    assertThat(pace.refused(FIRST)).isTrue();
    assertThat(pace.refused(FIRST)).isFalse();
    assertThat(pace.hasRoom(SMALL_POOL)).isTrue();
  }

  private void begin(RoleChange change, long nowMillis) {
    pace.asked(change.upstream(), nowMillis);
    pace.began(change);
  }

  private static RoleChange change(String upstream) {
    return new RoleChange(new UpstreamName(upstream), UpstreamRole.DECODE);
  }
}
