package org.marjoramsail.standin.load;

import java.util.Collection;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * What came of a run.
 *
 * @param planned requests of the workload
 * @param sent requests that a target took
 * @param accepted of these, the ones that were not refused
 * @param ends how many requests ended in each way
 * @param refusedByReason how many ended with each typed reason
 * @param goodputPerSecond requests a second that were completed within both latency targets
 * @param goodputShare these as a share of the planned ones that were not cancelled
 * @param fairness Jain's index over the organisations' shares of requests within targets: one is
 *     even
 * @param kinds the same by kind of request
 * @param audit what the stand-ins counted
 * @param violations broken invariants and how often; empty after a good run
 * @param examples the first details of violations
 */
public record LoadReport(
    long planned,
    long sent,
    long accepted,
    Map<RequestEnd, Long> ends,
    Map<String, Long> refusedByReason,
    double goodputPerSecond,
    double goodputShare,
    double fairness,
    List<KindReport> kinds,
    FleetAudit audit,
    Map<Invariant, Long> violations,
    List<String> examples) {

  private static final int MOST_EXAMPLES = 10;
  private static final double MILLIS_PER_SECOND = 1_000;

  /**
   * Sums up a run.
   *
   * @param outcomes the ends of all requests
   * @param audit what the stand-ins counted
   * @param durationMillis for how long requests were sent
   */
  public static LoadReport of(
      List<RequestOutcome> outcomes, FleetAudit audit, long durationMillis) {
    return of(outcomes, List.of(), audit, durationMillis);
  }

  /**
   * Sums up a run that others preceded: its figures are those of the run, but the invariants must
   * hold for the warm-up as well.
   *
   * @param outcomes the ends of all requests of the run
   * @param warmUp the ends of all requests before it
   * @param audit what the stand-ins counted since the warm-up
   * @param durationMillis for how long requests of the run were sent
   */
  public static LoadReport of(
      List<RequestOutcome> outcomes,
      List<RequestOutcome> warmUp,
      FleetAudit audit,
      long durationMillis) {
    List<RequestOutcome> all = Stream.concat(warmUp.stream(), outcomes.stream()).toList();
    Map<RequestEnd, Long> ends = countEnds(outcomes);
    long notSent = ends.getOrDefault(RequestEnd.NOT_SENT, 0L);
    long refused = ends.getOrDefault(RequestEnd.REFUSED, 0L);
    long good = outcomes.stream().filter(RequestOutcome::isWithinTargets).count();
    long wanted = outcomes.size() - ends.getOrDefault(RequestEnd.CANCELLED, 0L);
    return new LoadReport(
        outcomes.size(),
        outcomes.size() - notSent,
        outcomes.size() - notSent - refused,
        ends,
        countReasons(outcomes),
        good * MILLIS_PER_SECOND / durationMillis,
        wanted == 0 ? 0 : good / (double) wanted,
        fairness(outcomes),
        kindReports(outcomes),
        audit,
        countViolations(all, audit),
        examples(all));
  }

  /** How many requests ended in this way. */
  public long count(RequestEnd end) {
    return ends.getOrDefault(end, 0L);
  }

  /** Whether every invariant held. */
  public boolean isClean() {
    return violations.isEmpty();
  }

  private static Map<RequestEnd, Long> countEnds(List<RequestOutcome> outcomes) {
    Map<RequestEnd, Long> ends = new EnumMap<>(RequestEnd.class);
    outcomes.forEach(outcome -> ends.merge(outcome.end(), 1L, Long::sum));
    return ends;
  }

  private static Map<String, Long> countReasons(List<RequestOutcome> outcomes) {
    Map<String, Long> reasons = new TreeMap<>();
    for (RequestOutcome outcome : outcomes) {
      outcome.reason().ifPresent(reason -> reasons.merge(reason, 1L, Long::sum));
    }
    return reasons;
  }

  private static List<KindReport> kindReports(List<RequestOutcome> outcomes) {
    Map<RequestKind, List<RequestOutcome>> byKind =
        outcomes.stream()
            .collect(
                Collectors.groupingBy(
                    outcome -> outcome.request().kind(),
                    () -> new EnumMap<>(RequestKind.class),
                    Collectors.toList()));
    return byKind.entrySet().stream()
        .map(entry -> KindReport.of(entry.getKey(), entry.getValue()))
        .toList();
  }

  private static double fairness(List<RequestOutcome> outcomes) {
    Collection<Double> shares =
        outcomes.stream()
            .filter(outcome -> outcome.end() != RequestEnd.CANCELLED)
            .collect(
                Collectors.groupingBy(
                    outcome -> outcome.request().organisation(),
                    Collectors.averagingDouble(outcome -> outcome.isWithinTargets() ? 1 : 0)))
            .values();
    double sum = shares.stream().mapToDouble(Double::doubleValue).sum();
    double squares = shares.stream().mapToDouble(share -> share * share).sum();
    return squares == 0 ? 0 : sum * sum / (shares.size() * squares);
  }

  private static Map<Invariant, Long> countViolations(
      List<RequestOutcome> outcomes, FleetAudit audit) {
    Map<Invariant, Long> violations = new EnumMap<>(Invariant.class);
    for (Invariant invariant : Invariant.values()) {
      long count = invariant.violations(outcomes, audit);
      if (count > 0) {
        violations.put(invariant, count);
      }
    }
    return violations;
  }

  private static List<String> examples(List<RequestOutcome> outcomes) {
    return outcomes.stream()
        .filter(outcome -> outcome.end().isViolation())
        .limit(MOST_EXAMPLES)
        .map(
            outcome ->
                "%s %s (%s): %s"
                    .formatted(
                        outcome.end().code(),
                        outcome.request().reference(),
                        outcome.requestId().orElse("no identifier"),
                        outcome.detail()))
        .toList();
  }
}
