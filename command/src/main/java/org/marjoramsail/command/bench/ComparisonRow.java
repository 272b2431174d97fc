package org.marjoramsail.command.bench;

import java.util.List;
import java.util.function.ToDoubleFunction;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.standin.load.KindReport;
import org.marjoramsail.standin.load.LoadReport;

/**
 * What a policy gave at one load: means over the seeds, with the worst seed where one decides.
 *
 * @param policy the policy
 * @param load the load factor
 * @param seeds how many runs
 * @param goodputPerSecond requests a second within both latency targets
 * @param modelGoodputPerSecond of these, the ones that engines answer
 * @param lowestGoodputPerSecond the same of the worst seed
 * @param wastedPrefillShare prefill work discarded before its result was used
 * @param quickP95Millis the longest p95 of the quick kinds, in milliseconds
 * @param refusedShare refused requests as a share of the planned ones
 * @param fairness Jain's index between organisations
 * @param overCommitments how often an engine was given more than it holds, in all runs
 * @param violations broken invariants, in all runs
 */
public record ComparisonRow(
    String policy,
    double load,
    int seeds,
    double goodputPerSecond,
    double modelGoodputPerSecond,
    double lowestGoodputPerSecond,
    double wastedPrefillShare,
    double quickP95Millis,
    double refusedShare,
    double fairness,
    long overCommitments,
    long violations) {

  /** Sums up the runs of a policy at one load; at least one. */
  public static ComparisonRow of(String policy, double load, List<LoadReport> reports) {
    return new ComparisonRow(
        policy,
        load,
        reports.size(),
        mean(reports, LoadReport::goodputPerSecond),
        mean(reports, ComparisonRow::modelGoodput),
        reports.stream().mapToDouble(LoadReport::goodputPerSecond).min().orElse(0),
        mean(reports, report -> report.audit().wastedPrefillShare()),
        mean(reports, ComparisonRow::quickP95),
        mean(reports, ComparisonRow::refusedShare),
        mean(reports, LoadReport::fairness),
        reports.stream().mapToLong(report -> report.audit().overCommitments()).sum(),
        reports.stream().mapToLong(ComparisonRow::violations).sum());
  }

  private static double mean(List<LoadReport> reports, ToDoubleFunction<LoadReport> value) {
    return reports.stream().mapToDouble(value).average().orElse(0);
  }

  private static double modelGoodput(LoadReport report) {
    long all = report.kinds().stream().mapToLong(KindReport::withinTargets).sum();
    long ofEngines =
        report.kinds().stream()
            .filter(kind -> kind.kind().isGeneration())
            .mapToLong(KindReport::withinTargets)
            .sum();
    return all == 0 ? 0 : report.goodputPerSecond() * ofEngines / all;
  }

  private static double quickP95(LoadReport report) {
    return report.kinds().stream()
        .filter(kind -> kind.kind().serviceClass() == ServiceClass.QUICK)
        .mapToDouble(kind -> kind.whole().p95())
        .max()
        .orElse(0);
  }

  private static double refusedShare(LoadReport report) {
    long refused =
        report.kinds().stream()
            .map(KindReport::refusedByReason)
            .flatMap(reasons -> reasons.values().stream())
            .mapToLong(Long::longValue)
            .sum();
    return report.planned() == 0 ? 0 : refused / (double) report.planned();
  }

  private static long violations(LoadReport report) {
    return report.violations().values().stream().mapToLong(Long::longValue).sum();
  }
}
