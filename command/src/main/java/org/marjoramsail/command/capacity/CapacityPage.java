package org.marjoramsail.command.capacity;

import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;

/** Writes measurements, and what follows from them, as Markdown. */
public final class CapacityPage {

  private static final String NOT_MEASURED = "not measured";

  private CapacityPage() {}

  /** The measured points, a table for each part. */
  public static String points(List<Measurement> measurements) {
    StringBuilder text = new StringBuilder();
    for (Measurement measurement : measurements) {
      text.append("\n`").append(measurement.command()).append("`: ");
      text.append(machine(measurement.machine())).append("\n\n");
      head(text, List.of("what", "size", "load", "value"));
      measurement.points().forEach(point -> line(text, cells(point)));
    }
    return text.toString();
  }

  /** What recorded measurements make of the target size and of today's deployments. */
  public static String tables(List<Measurement> measurements) {
    CapacityModel model = new CapacityModel(measurements);
    StringBuilder text = new StringBuilder();
    text.append("### What does not fit\n\n");
    bounds(text, model.bounds(), Bound::isBroken);
    text.append("\n### What fits, and what is not measured\n\n");
    bounds(text, model.bounds(), bound -> !bound.isBroken());
    text.append("\n### Roles\n\n");
    rows(text, "role", model.roles());
    text.append("\n### Calls of the platform\n\n");
    rows(text, "mechanism", model.platform());
    text.append("\n### What a daemon adds, and what it costs to carry\n\n");
    head(text, List.of("what", "value"));
    OverheadFigures.of(measurements).forEach(cells -> line(text, cells));
    text.append("\n### Recordings\n\n");
    head(text, List.of("command", "points", "machine"));
    for (Measurement measurement : measurements) {
      line(
          text,
          List.of(
              "`" + measurement.command() + "`",
              Integer.toString(measurement.points().size()),
              machine(measurement.machine())));
    }
    return text.toString();
  }

  /** Three digits for small numbers, none for large ones. */
  static String number(double value) {
    double magnitude = Math.abs(value);
    if (magnitude >= 100 || value == Math.rint(value)) {
      return String.format(Locale.ROOT, "%,.0f", value);
    }
    return String.format(Locale.ROOT, magnitude >= 10 ? "%.1f" : "%.3f", value);
  }

  private static void bounds(StringBuilder text, List<Bound> bounds, Predicate<Bound> wanted) {
    head(text, List.of("what", "needed", "there is", "where it breaks", "what would lift it"));
    for (Bound bound : bounds) {
      if (wanted.test(bound)) {
        line(
            text,
            List.of(
                bound.what(),
                cell(bound.needed()),
                number(bound.allowed()),
                bound.breaks(),
                bound.change()));
      }
    }
  }

  private static void rows(StringBuilder text, String subject, List<CapacityRow> rows) {
    List<String> fleets = Arrays.stream(FleetSize.values()).map(FleetSize::title).toList();
    head(
        text,
        List.of(subject, "number", fleets.get(0), fleets.get(1), fleets.get(2), "carried by"));
    for (CapacityRow row : rows) {
      List<String> values = row.values().stream().map(CapacityPage::cell).toList();
      line(
          text,
          List.of(
              row.subject(),
              row.quantity(),
              values.get(0),
              values.get(1),
              values.get(2),
              row.mechanism()));
    }
  }

  private static List<String> cells(Point point) {
    Measure measure = point.measure();
    return List.of(
        measure.meaning(),
        labelled(point.size(), measure.size()),
        labelled(point.load(), measure.load()),
        number(point.value()));
  }

  private static String labelled(double value, String what) {
    return what.isEmpty() ? "" : number(value) + " " + what;
  }

  private static String cell(Optional<Double> value) {
    return value.map(CapacityPage::number).orElse(NOT_MEASURED);
  }

  private static String machine(Machine machine) {
    return String.format(
        Locale.ROOT,
        "%d processors, %d MB, heap %d MB, Java %s, load average %.1f before and %.1f after",
        machine.processors(),
        machine.memoryMegabytes(),
        machine.heapMegabytes(),
        machine.java(),
        machine.loadBefore(),
        machine.loadAfter());
  }

  private static void head(StringBuilder text, List<String> titles) {
    line(text, titles);
    line(text, titles.stream().map(title -> "---").toList());
  }

  private static void line(StringBuilder text, List<String> cells) {
    text.append(cells.stream().collect(Collectors.joining(" | ", "| ", " |\n")));
  }
}
