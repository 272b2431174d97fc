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

/** Runs random sequences of failures; their number is {@code jqwik.tries.default}. */
final class OutcomeFuzzTest {

  private static final int MAXIMUM_CHOICE = 159_999;

  /**
   * Guards against a second final response and against a request that ran but is reported as not
   * run. The simulation compares every response with what actually ran and what is actually held.
   */
  @Property(seed = "20261202")
  void everyRequestHasOneCorrectFinalResponseWhateverFails(
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
   * Guards against one content that crashes three upstreams, and against the refusal of a content
   * that only shared an upstream with it. A comment line describes each sequence.
   */
  @ParameterizedTest
  @MethodSource
  void aRecordedFailureSequencePasses(boolean randomCrashes, List<Integer> choices) {
    run(choices, randomCrashes);
  }

  static Stream<Arguments> aRecordedFailureSequencePasses() throws IOException {
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
