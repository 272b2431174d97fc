package org.marjoramsail.standin.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.assertj.core.data.Offset;
import org.junit.jupiter.api.Test;

final class LoadReportTest {

  private static final String BALLOT = "ballot-1";

  @Test
  void aGoodRunIsCleanAndCountsGoodput() {
    LoadReport report = LoadReport.of(List.of(ballot(RequestEnd.COMPLETED, 20)), once(), 1_000);

    assertThat(report.isClean()).isTrue();
    assertThat(report.goodputPerSecond()).isEqualTo(1.0);
    assertThat(LoadReportText.of(report)).contains("All invariants held.");
  }

  @Test
  void aLateAnswerIsCompletedButNoGoodput() {
    LoadReport report = LoadReport.of(List.of(ballot(RequestEnd.COMPLETED, 5_000)), once(), 1_000);

    assertThat(report.count(RequestEnd.COMPLETED)).isEqualTo(1);
    assertThat(report.kinds().get(0).late()).isEqualTo(1);
    assertThat(report.goodputPerSecond()).isZero();
  }

  @Test
  void aBallotThatRanTwiceBreaksTheRun() {
    FleetAudit twice = audit(Map.of(BALLOT, 2), Set.of());

    LoadReport report = LoadReport.of(List.of(ballot(RequestEnd.COMPLETED, 20)), twice, 1_000);

    assertThat(report.violations()).containsExactly(Map.entry(Invariant.AT_MOST_ONE_RUN, 1L));
  }

  @Test
  void aBallotThatIsSaidNotToHaveRunButDidBreaksTheRun() {
    FleetAudit ran = audit(Map.of(BALLOT, 1), Set.of("request-1"));

    LoadReport report = LoadReport.of(List.of(ballot(RequestEnd.REFUSED, 20)), ran, 1_000);

    assertThat(report.violations()).containsExactly(Map.entry(Invariant.NOT_RUN_IS_TRUE, 1L));
    assertThat(report.refusedByReason()).containsExactly(Map.entry("queue-full", 1L));
  }

  @Test
  void everyEndThatMustNotBeBreaksTheRun() {
    for (RequestEnd end : RequestEnd.values()) {
      LoadReport report = LoadReport.of(List.of(ballot(end, 20)), FleetAudit.none(), 1_000);

      assertThat(report.isClean()).as(end.code()).isEqualTo(!end.isViolation());
    }
  }

  @Test
  void wastedPrefillIsAShareOfAllPrefill() {
    FleetAudit audit = new FleetAudit(200, Map.of("cancelled", 8L), 0, Map.of(), Set.of(), 0);

    assertThat(audit.wastedPrefillShare()).isEqualTo(0.04, Offset.offset(1e-9));
  }

  @Test
  void fairnessIsOneWhenOrganisationsFareAlikeAndFallsWhenOneGetsNothing() {
    RequestOutcome good = ballot(RequestEnd.COMPLETED, 20);
    RequestOutcome bad = outcome("sur", RequestEnd.REFUSED, 20);

    assertThat(LoadReport.of(List.of(good), FleetAudit.none(), 1_000).fairness()).isEqualTo(1.0);
    assertThat(LoadReport.of(List.of(good, bad), FleetAudit.none(), 1_000).fairness())
        .isEqualTo(0.5);
  }

  private static FleetAudit once() {
    return audit(Map.of(BALLOT, 1), Set.of("request-1"));
  }

  private static FleetAudit audit(Map<String, Integer> runs, Set<String> run) {
    return new FleetAudit(0, Map.of(), 0, runs, run, 0);
  }

  private static RequestOutcome ballot(RequestEnd end, long endMillis) {
    return outcome("centro", end, endMillis);
  }

  private static RequestOutcome outcome(String organisation, RequestEnd end, long endMillis) {
    PlannedRequest request =
        new PlannedRequest(
            0,
            0,
            organisation,
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
        refused ? Optional.of("queue-full") : Optional.empty(),
        refused ? Optional.of("not-run") : Optional.empty(),
        Optional.of("request-1"),
        Optional.of("entry-1"),
        0,
        Optional.empty(),
        endMillis,
        0,
        "");
  }
}
