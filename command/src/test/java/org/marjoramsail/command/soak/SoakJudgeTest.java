package org.marjoramsail.command.soak;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.marjoramsail.standin.load.FleetAudit;
import org.marjoramsail.standin.load.Invariant;
import org.marjoramsail.standin.load.PlannedRequest;
import org.marjoramsail.standin.load.RequestEnd;
import org.marjoramsail.standin.load.RequestKind;
import org.marjoramsail.standin.load.RequestOutcome;

final class SoakJudgeTest {

  private static final String BALLOT = "ballot-7";
  private static final PlannedFault KILL =
      new PlannedFault(SoakFault.DAEMON_KILL, new FaultTarget(TargetGroup.DAEMON, 1), 1_000, 2_000);
  private static final PlannedFault STALL =
      new PlannedFault(
          SoakFault.ENGINE_STALL, new FaultTarget(TargetGroup.DECODE, 0), 1_000, 2_000);

  /**
   * A daemon dies while it holds a caller's connection: the caller sees a cut, which no daemon can
   * prevent. A cut by any other daemon, or at another time, is a fault of the system.
   */
  @Test
  void onlyACutByTheDaemonThatWasEndedIsExcused() {
    SoakReport excused = judge(List.of(KILL), cut("entry-2", 900), Map.of());
    SoakReport other = judge(List.of(KILL), cut("entry-3", 900), Map.of());
    SoakReport later = judge(List.of(KILL), cut("entry-2", 9_000), Map.of());

    assertThat(excused.isClean()).isTrue();
    assertThat(excused.load().count(RequestEnd.DAEMON_DIED)).isEqualTo(1);
    assertThat(other.load().violations()).containsKey(Invariant.NOTHING_CUT);
    assertThat(later.load().violations()).containsKey(Invariant.NOTHING_CUT);
  }

  @Test
  void aBrokenRequestIsNamedWithTheFaultThatWasNear() {
    SoakReport report = judge(List.of(STALL), cut("entry-3", 900), Map.of());

    assertThat(report.examples())
        .singleElement()
        .asString()
        .contains(BALLOT, "request-1", "entry-3", "engine-stall decode-1 1000-2000 ms");
  }

  /**
   * A voter's daemon dies; the voter sends again with the key and is told "not run". The first send
   * had reached the service, so that the voter would vote a second time under another key.
   */
  @Test
  void aKeyedRequestWhoseSendersWereAllToldNotRunMustNotHaveRun() {
    List<RequestOutcome> refused = List.of(outcome(RequestEnd.REFUSED, "entry-1", 100));

    assertThat(judge(List.of(), refused, Map.of(BALLOT, 1)).violations())
        .containsOnlyKeys(SoakCheck.KEYED_NOT_RUN_IS_TRUE);
    assertThat(judge(List.of(), refused, Map.of()).isClean()).isTrue();
  }

  @Test
  void aCallerWhoseDaemonWasEndedStillCountsWhenTheRequestRanTwice() {
    SoakReport report = judge(List.of(KILL), cut("entry-2", 900), Map.of(BALLOT, 2));

    assertThat(report.load().violations()).containsOnlyKeys(Invariant.AT_MOST_ONE_RUN);
    assertThat(report.examples()).singleElement().asString().contains(BALLOT);
  }

  @Test
  void overCommitmentIsExcusedOnlyWhereADaemonFailed() {
    FleetAudit audit = new FleetAudit(0, Map.of(), 3, Map.of(), Set.of(), 0);

    assertThat(SoakJudge.judge(record(List.of(STALL), List.of(), audit)).violations())
        .containsEntry(SoakCheck.NO_OVER_COMMITMENT, 3L);
    assertThat(SoakJudge.judge(record(List.of(KILL), List.of(), audit)).isClean()).isTrue();
  }

  private static SoakReport judge(
      List<PlannedFault> faults, List<RequestOutcome> outcomes, Map<String, Integer> runs) {
    return SoakJudge.judge(
        record(faults, outcomes, new FleetAudit(0, Map.of(), 0, runs, Set.of(), 0)));
  }

  private static SoakRecord record(
      List<PlannedFault> faults, List<RequestOutcome> outcomes, FleetAudit audit) {
    return new SoakRecord(
        faults,
        outcomes.stream().map(outcome -> new Observation(0, outcome)).toList(),
        List.of(),
        List.of(),
        List.of(),
        audit,
        List.of(),
        List.of(OptionalLong.of(0)),
        Map.of(),
        10_000);
  }

  private static List<RequestOutcome> cut(String daemon, long atMillis) {
    return List.of(outcome(RequestEnd.CUT, daemon, atMillis));
  }

  private static RequestOutcome outcome(RequestEnd end, String daemon, long atMillis) {
    PlannedRequest request =
        new PlannedRequest(
            0,
            atMillis,
            "maipu",
            "token",
            RequestKind.BALLOT,
            BALLOT,
            false,
            Optional.empty(),
            0,
            Optional.of("key"),
            Optional.empty(),
            10_000);
    boolean refused = end == RequestEnd.REFUSED;
    return new RequestOutcome(
        request,
        end,
        Optional.of("store-unavailable").filter(reason -> refused),
        Optional.of("not-run").filter(run -> refused),
        Optional.of("request-1"),
        Optional.of(daemon),
        0,
        Optional.empty(),
        400,
        0,
        "");
  }
}
