package org.marjoramsail.standin.load;

import java.util.List;
import java.util.Locale;
import java.util.function.ToLongBiFunction;

/** What must hold after every run; each counts its violations. */
@SuppressWarnings("ImmutableEnumChecker") // The functions are constants without state.
public enum Invariant {
  NOTHING_LOST((outcomes, audit) -> count(outcomes, RequestEnd.LOST)),
  NOTHING_ANSWERED_TWICE((outcomes, audit) -> count(outcomes, RequestEnd.ANSWERED_TWICE)),
  EVERY_ANSWER_RIGHT((outcomes, audit) -> count(outcomes, RequestEnd.WRONG)),
  EVERY_REFUSAL_TYPED((outcomes, audit) -> count(outcomes, RequestEnd.UNTYPED)),
  /** Holds only while no daemon dies: its callers' connections die with it. */
  NOTHING_CUT((outcomes, audit) -> count(outcomes, RequestEnd.CUT)),
  AT_MOST_ONE_RUN((outcomes, audit) -> repeatedRuns(outcomes, audit)),
  NOT_RUN_IS_TRUE((outcomes, audit) -> falselyNotRun(outcomes, audit)),
  NOTHING_HELD_AT_END((outcomes, audit) -> audit.heldAtEnd());

  private final ToLongBiFunction<List<RequestOutcome>, FleetAudit> violations;

  Invariant(ToLongBiFunction<List<RequestOutcome>, FleetAudit> violations) {
    this.violations = violations;
  }

  /** How often a run broke it. */
  public long violations(List<RequestOutcome> outcomes, FleetAudit audit) {
    return violations.applyAsLong(outcomes, audit);
  }

  /** Its name in reports: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }

  private static long count(List<RequestOutcome> outcomes, RequestEnd end) {
    return outcomes.stream().filter(outcome -> outcome.end() == end).count();
  }

  private static long repeatedRuns(List<RequestOutcome> outcomes, FleetAudit audit) {
    return outcomes.stream()
        .map(RequestOutcome::request)
        .filter(request -> !request.kind().repeatability().isResendable())
        .map(PlannedRequest::reference)
        .distinct()
        .filter(reference -> audit.runsByReference().getOrDefault(reference, 0) > 1)
        .count();
  }

  private static long falselyNotRun(List<RequestOutcome> outcomes, FleetAudit audit) {
    return outcomes.stream()
        .filter(RequestOutcome::isToldNotRun)
        .filter(outcome -> outcome.requestId().filter(audit.requestsRun()::contains).isPresent())
        .count();
  }
}
