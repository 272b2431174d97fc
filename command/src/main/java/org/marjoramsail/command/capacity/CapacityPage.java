package org.marjoramsail.command.capacity;

import java.util.List;
import java.util.Locale;

/** Writes measurements, and what follows from them, as Markdown. */
public final class CapacityPage {

  private CapacityPage() {}

  /** The measured points, a table for each part. */
  public static String points(List<Measurement> measurements) {
    StringBuilder text = new StringBuilder();
    for (Measurement measurement : measurements) {
      Machine machine = measurement.machine();
      text.append(
          String.format(
              Locale.ROOT,
              "%n`%s`: %d processors, %d MB, heap %d MB, Java %s, load average %.1f before and"
                  + " %.1f after.%n%n| what | size | load | value |%n| --- | --- | --- | --- |%n",
              measurement.command(),
              machine.processors(),
              machine.memoryMegabytes(),
              machine.heapMegabytes(),
              machine.java(),
              machine.loadBefore(),
              machine.loadAfter()));
      measurement.points().forEach(point -> text.append(row(point)));
    }
    return text.toString();
  }

  private static String row(Point point) {
    Measure measure = point.measure();
    return String.format(
        Locale.ROOT,
        "| %s | %s | %s | %s |%n",
        measure.meaning(),
        labelled(point.size(), measure.size()),
        labelled(point.load(), measure.load()),
        number(point.value()));
  }

  private static String labelled(double value, String what) {
    return what.isEmpty() ? "" : number(value) + " " + what;
  }

  /** Three digits for small numbers, none for large ones. */
  static String number(double value) {
    double magnitude = Math.abs(value);
    if (magnitude >= 100 || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    return String.format(Locale.ROOT, magnitude >= 10 ? "%.1f" : "%.3f", value);
  }

  /** What recorded measurements make of the target size and of today's deployments. */
  public static String tables(List<Measurement> measurements) {
    return points(measurements);
  }
}
