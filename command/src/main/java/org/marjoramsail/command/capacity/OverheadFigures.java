package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** What a daemon adds to a call, and its processor time, as lines of a table. */
final class OverheadFigures {

  private static final double WHOLE_CORE = 100;

  private OverheadFigures() {}

  static List<List<String>> of(List<Measurement> measurements) {
    Measurements measured = new Measurements(measurements);
    List<List<String>> lines = new ArrayList<>();
    for (Measure measure :
        List.of(
            Measure.DIRECT_P50,
            Measure.DAEMON_P50,
            Measure.DIRECT_P99,
            Measure.DAEMON_P99,
            Measure.OVERHEAD_FAILED)) {
      add(lines, measure.meaning(), measured.value(measure));
    }
    add(
        lines,
        "ms added, half of the calls",
        added(measured, Measure.DAEMON_P50, Measure.DIRECT_P50));
    add(
        lines,
        "ms added, 99 in 100 calls",
        added(measured, Measure.DAEMON_P99, Measure.DIRECT_P99));
    for (Point point : points(measurements, Measure.SATURATED_REQUESTS)) {
      Optional<Double> core = measured.exactly(Measure.SATURATED_CORE, point.size(), 0);
      String callers = " with " + CapacityPage.number(point.size()) + " callers";
      add(lines, Measure.SATURATED_REQUESTS.meaning() + callers, Optional.of(point.value()));
      add(lines, Measure.SATURATED_CORE.meaning() + callers, core);
      add(
          lines,
          "calls/s for a whole core of the event loop" + callers,
          core.map(percent -> point.value() * WHOLE_CORE / percent));
      add(
          lines,
          Measure.SATURATED_DIRECT.meaning() + callers,
          measured.exactly(Measure.SATURATED_DIRECT, point.size(), 0));
    }
    for (Measure measure :
        List.of(
            Measure.REQUEST_MICROS,
            Measure.TOKEN_MICROS,
            Measure.PROMPT_MICROS,
            Measure.TOKENS_FIT)) {
      add(lines, measure.meaning(), measured.value(measure));
    }
    for (Point point : points(measurements, Measure.IDLE_CORE)) {
      add(
          lines,
          Measure.IDLE_CORE.meaning()
              + ", "
              + CapacityPage.number(point.size())
              + " upstreams watched",
          Optional.of(point.value()));
    }
    return lines;
  }

  private static Optional<Double> added(Measurements measured, Measure through, Measure direct) {
    return measured.value(through).flatMap(slow -> measured.value(direct).map(fast -> slow - fast));
  }

  private static List<Point> points(List<Measurement> measurements, Measure measure) {
    return measurements.stream()
        .flatMap(measurement -> measurement.points().stream())
        .filter(point -> point.measure() == measure)
        .toList();
  }

  private static void add(List<List<String>> lines, String what, Optional<Double> value) {
    lines.add(List.of(what, value.map(CapacityPage::number).orElse("not measured")));
  }
}
