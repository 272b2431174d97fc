package org.marjoramsail.command.check;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.marjoramsail.core.configuration.ConfigurationDifference.FieldDifference;
import org.marjoramsail.core.configuration.check.EntryDifference;
import org.marjoramsail.core.configuration.check.Finding;
import org.marjoramsail.core.configuration.check.Severity;

/** Prints a report as lines of text: findings, differences and a summary. */
public final class CheckText {

  private static final int LONGEST_LINE = 1_000;

  private CheckText() {}

  /** Returns the lines of a report. */
  public static List<String> lines(CheckReport report) {
    List<String> lines = new ArrayList<>();
    for (Finding finding : report.findings()) {
      lines.add(printable(finding.severity().code() + ": " + finding.message()));
    }
    for (EntryDifference difference : report.differences()) {
      String start = difference.change().code() + " " + difference.entry();
      if (difference.fields().isEmpty()) {
        lines.add(printable(start));
      }
      for (FieldDifference field : difference.fields()) {
        lines.add(
            printable(
                "%s, %s: \"%s\" becomes \"%s\""
                    .formatted(start, field.field(), field.before(), field.after())));
      }
    }
    lines.add(printable(summary(report)));
    return lines;
  }

  private static String summary(CheckReport report) {
    String counts =
        "%s (%s): %s, %s"
            .formatted(
                report.source(),
                report.format(),
                counted(report.count(Severity.ERROR), "error", "errors"),
                counted(report.count(Severity.WARNING), "warning", "warnings"));
    return report
        .against()
        .map(
            against ->
                counts
                    + "; "
                    + counted(report.differences().size(), "entry differs", "entries differ")
                    + " from "
                    + against)
        .orElse(counts);
  }

  private static String counted(long count, String one, String several) {
    return count + " " + (count == 1 ? one : several);
  }

  /**
   * Returns a text as one line, without characters that control a terminal: values come from a file
   * that anybody may have written.
   */
  public static String printable(String text) {
    StringBuilder line = new StringBuilder();
    String shortened =
        text.length() > LONGEST_LINE ? text.substring(0, LONGEST_LINE) + "..." : text;
    shortened
        .codePoints()
        .forEach(
            point -> {
              if (Character.isISOControl(point) || Character.getType(point) == Character.FORMAT) {
                line.append(String.format(Locale.ROOT, "\\u%04x", point));
              } else {
                line.appendCodePoint(point);
              }
            });
    return line.toString();
  }
}
