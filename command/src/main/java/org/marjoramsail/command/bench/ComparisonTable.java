package org.marjoramsail.command.bench;

import java.util.List;
import java.util.Locale;

/** Writes a comparison as a Markdown table. */
public final class ComparisonTable {

  private static final String HEAD =
      """
      | policy | load | seeds | goodput/s | of engines | worst seed | wasted prefill | quick p95 ms | refused \
      | fairness | over-commitments | violations |
      | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |
      """;

  private ComparisonTable() {}

  /** A line for each row. */
  public static String of(List<ComparisonRow> rows) {
    StringBuilder text = new StringBuilder(HEAD);
    for (ComparisonRow row : rows) {
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %.2f | %d | %.1f | %.1f | %.1f | %.2f%% | %.0f | %.1f%% | %.3f | %d | %d |%n",
              row.policy(),
              row.load(),
              row.seeds(),
              row.goodputPerSecond(),
              row.modelGoodputPerSecond(),
              row.lowestGoodputPerSecond(),
              100 * row.wastedPrefillShare(),
              row.quickP95Millis(),
              100 * row.refusedShare(),
              row.fairness(),
              row.overCommitments(),
              row.violations()));
    }
    return text.toString();
  }
}
