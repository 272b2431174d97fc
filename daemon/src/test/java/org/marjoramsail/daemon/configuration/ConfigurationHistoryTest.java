package org.marjoramsail.daemon.configuration;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/**
 * Random histories of several operators, daemons that restart, and a store that fails.
 *
 * <p>Each try runs as many histories as the system property {@code marjoramsail.histories} says.
 */
final class ConfigurationHistoryTest {

  private static final int HISTORIES = Integer.getInteger("marjoramsail.histories", 1);

  @Property(seed = "61", tries = 250)
  void acceptedChangesAreInForceOnceEverywhereAndNeverUndone(
      @ForAll @Size(min = 50, max = 250) List<@IntRange(min = 0, max = 999_999) Integer> choices) {
    for (int salt = 0; salt < HISTORIES; salt++) {
      ConfigurationHistory history = new ConfigurationHistory(salt);
      for (int choice : choices) {
        history.step(spread(choice, salt));
      }
      history.finish();
      assertThat(history.violations()).isEmpty();
    }
  }

  /** Spreads a choice evenly, since the generator prefers small numbers. */
  private static int spread(int choice, int salt) {
    return new SplittableRandom(choice * 31L + salt).nextInt(1_000_000);
  }
}
