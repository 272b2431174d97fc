package org.marjoramsail.command.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.marjoramsail.command.fleet.Deployment;

final class FaultPlanTest {

  private static final long DURATION_MILLIS = 60_000;
  private static final int DAEMONS = 3;
  private static final int SEEDS = 20;
  private static final long LONGEST_GAP_MILLIS = 1_000;

  @Test
  void equalSeedsGiveEqualPlansAndOtherSeedsGiveOthers() {
    assertThat(plan(Deployment.ROSARIO, 3))
        .isEqualTo(plan(Deployment.ROSARIO, 3))
        .isNotEqualTo(plan(Deployment.ROSARIO, 4));
  }

  @ParameterizedTest
  @EnumSource(Deployment.class)
  void aFaultBeginsEverySecondAndAllEndWithTheRun(Deployment deployment) {
    for (int seed = 0; seed < SEEDS; seed++) {
      List<PlannedFault> faults = plan(deployment, seed);
      assertThat(faults)
          .allSatisfy(
              fault -> assertThat(fault.untilMillis()).isBetween(fault.atMillis(), DURATION_MILLIS))
          .extracting(PlannedFault::kind)
          .contains(SoakFault.values());
      for (int next = 1; next < faults.size(); next++) {
        assertThat(faults.get(next).atMillis() - faults.get(next - 1).atMillis())
            .isBetween(1L, LONGEST_GAP_MILLIS);
      }
    }
  }

  /**
   * If all daemons or all servers of a role were away at once, callers would see refusals only, and
   * a run would prove nothing; overlapping faults of several kinds are what could bring that about.
   */
  @ParameterizedTest
  @EnumSource(Deployment.class)
  void atEveryMomentOneOfEachGroupIsSpared(Deployment deployment) {
    for (int seed = 0; seed < SEEDS; seed++) {
      List<PlannedFault> disabling =
          plan(deployment, seed).stream().filter(fault -> fault.kind().isDisabling()).toList();
      for (PlannedFault fault : disabling) {
        TargetGroup group = fault.target().group();
        long away =
            disabling.stream()
                .filter(other -> other.target().group() == group)
                .filter(other -> other.overlaps(fault.atMillis(), fault.atMillis()))
                .map(PlannedFault::target)
                .distinct()
                .count();
        assertThat(away).isLessThan(group.size(deployment, DAEMONS));
      }
    }
  }

  @Test
  void noTargetMeetsTheSameKindTwiceAtOnceAndNoDeadDaemonIsPaused() {
    List<PlannedFault> faults = plan(Deployment.CABILDO_ABIERTO, 1);
    List<String> overlapping =
        IntStream.range(0, faults.size())
            .boxed()
            .flatMap(
                first ->
                    faults.subList(first + 1, faults.size()).stream()
                        .filter(second -> clash(faults.get(first), second))
                        .map(second -> faults.get(first) + " and " + second))
            .collect(Collectors.toList());
    assertThat(overlapping).isEmpty();
  }

  @Test
  void aPlanWithoutKindsIsEmpty() {
    assertThat(FaultPlan.draw(Deployment.ROSARIO, DAEMONS, 1, DURATION_MILLIS, List.of()))
        .isEmpty();
  }

  private static boolean clash(PlannedFault one, PlannedFault other) {
    boolean same =
        one.kind() == other.kind() || (one.kind().isOfDaemons() && other.kind().isOfDaemons());
    return same
        && one.target().equals(other.target())
        && one.overlaps(other.atMillis(), other.untilMillis());
  }

  private static List<PlannedFault> plan(Deployment deployment, long seed) {
    return FaultPlan.draw(deployment, DAEMONS, seed, DURATION_MILLIS, List.of(SoakFault.values()));
  }
}
