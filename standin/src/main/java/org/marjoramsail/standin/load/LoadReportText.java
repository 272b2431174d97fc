package org.marjoramsail.standin.load;

import java.util.Locale;
import java.util.Map;

/** Writes a report for people. */
public final class LoadReportText {

  private static final String ROW = "%-20s %8s %9s %7s %6s  %-22s %-22s %-22s%n";

  private final StringBuilder text = new StringBuilder();

  private LoadReportText() {}

  /** The report as lines of text. */
  public static String of(LoadReport report) {
    LoadReportText writer = new LoadReportText();
    writer.totals(report);
    writer.kinds(report);
    writer.reasons(report);
    writer.prefill(report.audit());
    writer.verdict(report);
    return writer.text.toString();
  }

  private void totals(LoadReport report) {
    add(
        "planned   %8d   sent %d, accepted %d%n",
        report.planned(), report.sent(), report.accepted());
    for (RequestEnd end : RequestEnd.values()) {
      if (report.count(end) > 0 || end.isViolation()) {
        add("  %-15s %8d%n", end.code(), report.count(end));
      }
    }
    add(
        "goodput   %8.1f requests/s within both targets (%.1f%% of those wanted)%n",
        report.goodputPerSecond(), 100 * report.goodputShare());
    add("fairness  %8.3f between organisations (Jain's index)%n%n", report.fairness());
  }

  private void kinds(LoadReport report) {
    add(
        ROW,
        "kind",
        "planned",
        "completed",
        "good",
        "late",
        "first ms p50/p95/p99",
        "gap ms p50/p95/p99",
        "whole ms p50/p95/p99");
    for (KindReport kind : report.kinds()) {
      add(
          ROW,
          kind.kind().code(),
          kind.planned(),
          kind.completed(),
          kind.withinTargets(),
          kind.late(),
          cell(kind.firstToken()),
          cell(kind.betweenTokens()),
          cell(kind.whole()));
    }
    add("%n");
  }

  private static String cell(Percentiles percentiles) {
    if (percentiles.count() == 0) {
      return "-";
    }
    return String.format(
        Locale.ROOT, "%.0f / %.0f / %.0f", percentiles.p50(), percentiles.p95(), percentiles.p99());
  }

  private void reasons(LoadReport report) {
    if (report.refusedByReason().isEmpty()) {
      add("refused by reason: none%n");
      return;
    }
    add("refused by reason:%n");
    report.refusedByReason().forEach((reason, count) -> add("  %-24s %8d%n", reason, count));
  }

  private void prefill(FleetAudit audit) {
    add(
        "wasted prefill: %.2f%% of %d prompt tokens%n",
        100 * audit.wastedPrefillShare(), audit.prefillTokens());
    audit.wasteByReason().forEach((reason, tokens) -> add("  %-24s %8d%n", reason, tokens));
    add("engines given more than they hold: %d times%n%n", audit.overCommitments());
  }

  private void verdict(LoadReport report) {
    if (report.isClean()) {
      add("All invariants held.%n");
      return;
    }
    for (Map.Entry<Invariant, Long> violation : report.violations().entrySet()) {
      add("BROKEN %s: %d times%n", violation.getKey().code(), violation.getValue());
    }
    report.examples().forEach(example -> add("  %s%n", example));
  }

  private void add(String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }
}
