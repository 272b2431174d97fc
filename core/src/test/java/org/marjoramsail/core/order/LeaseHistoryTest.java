package org.marjoramsail.core.order;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.model.DaemonId;

/**
 * Tests random histories of leases.
 *
 * <p>The system property {@code marjoramsail.histories} sets the number of histories in each try.
 */
final class LeaseHistoryTest {

  private static final int HISTORIES = Integer.getInteger("marjoramsail.histories", 1);

  @Property(seed = "62", tries = 500)
  void noEngineActsForAFormerHolderAfterItsSuccessor(
      @ForAll @Size(min = 100, max = 400)
          List<@IntRange(min = 0, max = 9_999_999) Integer> choices) {
    for (int salt = 0; salt < HISTORIES; salt++) {
      LeaseHistory history = new LeaseHistory();
      for (int choice : choices) {
        history.step(spread(choice, salt));
      }
      history.finish();
      assertThat(history.tokens(true)).isSorted();
      assertThat(history.tokens(false)).isSorted();
    }
  }

  /** Uses the lease times of the platform and hosts whose clocks stop while they are suspended. */
  @Property(seed = "63", tries = 500)
  void noEngineActsForAFormerHolderWhereHostsAreSuspendedAndLeasesAreShort(
      @ForAll @Size(min = 100, max = 400)
          List<@IntRange(min = 0, max = 9_999_999) Integer> choices) {
    LeaseHistory history = new LeaseHistory(LeaseTimes.quick(), true);
    for (int choice : choices) {
      history.step(spread(choice, 0));
    }
    history.finish();
    assertThat(history.tokens(false)).isSorted();
  }

  @Test
  void aHolderThatResumesAfterALongPauseSendsNothing() {
    // Guards against a former holder that was paused, resumes after another daemon has acquired the
    // lease, and still sends orders.
    LeaseKeeper keeper = new LeaseKeeper(new DaemonId("entry-1", 1), 0);
    keeper.tick(true, 0);
    keeper.read(Optional.empty(), "", 10);
    LeaseCall.Write acquire = (LeaseCall.Write) keeper.tick(true, 20).orElseThrow();
    keeper.written(acquire.lease(), "1", 30);

    assertThat(keeper.mayAct(true, 40)).isTrue();
    assertThat(keeper.mayAct(false, 40)).isFalse();
    assertThat(keeper.mayAct(false, 30 + LeaseKeeper.MAXIMUM_IN_FLIGHT_MILLIS)).isTrue();
    assertThat(keeper.mayAct(true, 20 + LeaseKeeper.ACTING_MILLIS)).isFalse();
    assertThat(keeper.mayAct(true, 120_000)).isFalse();
  }

  /** Distributes a choice evenly, since the generator prefers small numbers. */
  private static int spread(int choice, int salt) {
    return new SplittableRandom(choice * 31L + salt).nextInt(10_000_000);
  }
}
