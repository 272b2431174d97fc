package org.marjoramsail.core.outcome;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.outcome.PromptPartFleet.Setting;

/** Guards against a prompt part that crashes more than five servers before it is refused. */
final class PromptPartFleetTest {

  private static final int LIMIT = PromptPartQuarantine.CRASH_LIMIT;
  private static final long WARM_UP_MILLIS = 3_000;
  private static final int MAXIMUM_CRASHES = 5;
  private static final int MAXIMUM_LATE_SENDS = 3;

  @ParameterizedTest
  @CsvSource({
    "7, 0.01, 100",
    "7, 0.03, 100",
    "7, 0.1, 100",
    "77, 0.01, 10",
    "77, 0.03, 10",
    "390, 0.01, 1",
  })
  void aDeadlyPartIsRefusedEverywhereAfterFewCrashes(int hosts, double share, int seeds) {
    check(new Setting(hosts, share, 1, false, 0, WARM_UP_MILLIS, LIMIT, true), seeds);
  }

  @ParameterizedTest
  @CsvSource({"7, 0.03, 100", "7, 0.1, 100", "77, 0.03, 10"})
  void twoDeadlyPartsAtOnceAreBothRefused(int hosts, double share, int seeds) {
    check(new Setting(hosts, share, 2, false, 0, WARM_UP_MILLIS, LIMIT, true), seeds);
  }

  @Test
  void partsThatAlwaysComeTogetherAreRefusedTogether() {
    check(new Setting(7, 0.03, 1, true, 0, WARM_UP_MILLIS, LIMIT, true), 100);
  }

  @Test
  void crashesWithoutACauseDelayNoRefusalAndRefuseNoSoundRequest() {
    check(new Setting(7, 0.03, 1, false, 0.3, WARM_UP_MILLIS, LIMIT, true), 100);
  }

  @Test
  void aPartThatIsDeadlyFromTheStartIsRefusedBeforeMostPartsHaveGivenOutput() {
    check(new Setting(7, 0.03, 1, false, 0, 0, LIMIT, true), 100);
  }

  private static void check(Setting setting, int seeds) {
    List<PromptPartFleet> fleets = run(setting, seeds);
    assertThat(fleets).allMatch(fleet -> fleet.firstPartsRefused() == 0);
    assertThat(sum(fleets, PromptPartFleet::soundRefused) * 100L)
        .isLessThanOrEqualTo(sum(fleets, PromptPartFleet::sound));
    long late =
        fleets.stream()
            .flatMap(fleet -> fleet.deadlyParts().stream())
            .filter(part -> part.lateSends() > MAXIMUM_LATE_SENDS)
            .count();
    assertThat(late).isZero();
    List<Integer> crashes =
        fleets.stream()
            .flatMap(fleet -> fleet.deadlyParts().stream())
            .map(PromptPartFleet.DeadlyPart::crashesBeforeNamed)
            .toList();
    long few = crashes.stream().filter(count -> count <= MAXIMUM_CRASHES).count();
    assertThat(few * 100).as("crashes %s", crashes).isGreaterThanOrEqualTo(crashes.size() * 95L);
  }

  private static int sum(List<PromptPartFleet> fleets, ToIntFunction<PromptPartFleet> value) {
    return fleets.stream().mapToInt(value).sum();
  }

  private static List<PromptPartFleet> run(Setting setting, int seeds) {
    List<PromptPartFleet> fleets = new ArrayList<>();
    for (int seed = 1; seed <= seeds; seed++) {
      PromptPartFleet fleet = new PromptPartFleet(setting, 59_000 + seed).run();
      fleets.add(fleet);
    }
    return fleets;
  }
}
