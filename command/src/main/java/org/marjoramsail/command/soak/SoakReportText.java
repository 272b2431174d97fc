package org.marjoramsail.command.soak;

import java.util.Locale;
import java.util.stream.Collectors;
import org.marjoramsail.standin.load.LoadReportText;

/** Writes the report of a soak for people. */
public final class SoakReportText {

  private final StringBuilder text = new StringBuilder();

  private SoakReportText() {}

  /** The report as lines of text. */
  public static String of(SoakReport report) {
    SoakReportText writer = new SoakReportText();
    writer.text.append(LoadReportText.of(report.load())).append('\n');
    writer.faults(report);
    writer.verdict(report);
    return writer.text.toString();
  }

  private void faults(SoakReport report) {
    long all = report.faults().values().stream().mapToLong(Long::longValue).sum();
    add("faults    %8d%n", all);
    report.faults().forEach((kind, count) -> add("  %-24s %8d%n", kind.code(), count));
    add("keyed requests sent again: %d%n", report.resent());
    add(
        "engines crashed by each poisonous prompt: %s%n",
        report.crashesByPoison().stream().map(String::valueOf).collect(Collectors.joining(" ")));
    if (report.silentDaemons() > 0) {
      add("daemons whose own invariants cannot be read: %d%n", report.silentDaemons());
    }
    report.unhandled().forEach((what, count) -> add("unhandled: %s, %d times%n", what, count));
  }

  private void verdict(SoakReport report) {
    report
        .violations()
        .forEach((check, count) -> add("BROKEN %s: %d times%n", check.code(), count));
    report.examples().forEach(example -> add("  %s%n", example));
    add("%s%n", report.isClean() ? "The soak is clean." : "The soak is BROKEN.");
  }

  private void add(String format, Object... values) {
    text.append(String.format(Locale.ROOT, format, values));
  }
}
