package org.marjoramsail.core.outcome;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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
    run(choices, randomCrashes);
  }

  private static void run(List<Integer> choices, boolean randomCrashes) {
    FuzzedWorld world = new FuzzedWorld(randomCrashes);
    choices.forEach(choice -> world.step(choice % FuzzedWorld.STEPS, choice / FuzzedWorld.STEPS));
    world.finish();
  }

  /**
   * One prompt takes down three engines, or a neighbour's summary is refused since it once shared
   * an engine with that prompt. Each sequence of the file has shown one of these; its line says
   * which.
   */
  @ParameterizedTest
  @MethodSource
  void aSequenceThatOnceFailedHoldsNow(boolean randomCrashes, List<Integer> choices) {
    run(choices, randomCrashes);
  }

  static Stream<Arguments> aSequenceThatOnceFailedHoldsNow() throws IOException {
    try (InputStream file = OutcomeFuzzTest.class.getResourceAsStream("failed-sequences.txt")) {
      return new String(file.readAllBytes(), StandardCharsets.UTF_8)
          .lines()
          .filter(line -> !line.startsWith("#"))
          .map(line -> line.split(": ", 2))
          .map(parts -> Arguments.of(Boolean.valueOf(parts[0]), choices(parts[1])));
    }
  }

  private static List<Integer> choices(String commaSeparated) {
    return Stream.of(commaSeparated.split(",")).map(Integer::valueOf).toList();
  }
}
