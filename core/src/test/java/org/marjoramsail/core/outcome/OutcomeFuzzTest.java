package org.marjoramsail.core.outcome;

import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

/** The number of sequences is {@code jqwik.tries.default}; a measured run sets it higher. */
final class OutcomeFuzzTest {

  private static final int MAXIMUM_CHOICE = 159_999;

  /**
   * A caller is answered twice, or told "not run" of a ballot that ran: the order of failures that
   * leads there is not known beforehand. Crashes, cuts, lost answers, late, repeated and crossed
   * frames, gone callers and clock jumps come in any order, and an oracle that sees what truly ran
   * and what is truly held checks every answer.
   */
  @Property(seed = "20261202")
  void everyRequestHasOneTrueEndWhateverFails(
      @ForAll @Size(min = 10, max = 150) List<@IntRange(max = MAXIMUM_CHOICE) Integer> choices,
      @ForAll boolean randomCrashes) {
    FuzzedWorld world = new FuzzedWorld(randomCrashes);
    choices.forEach(choice -> world.step(choice % FuzzedWorld.STEPS, choice / FuzzedWorld.STEPS));
    world.finish();
  }
}
