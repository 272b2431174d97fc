package org.marjoramsail.command.capacity;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/** Looks up what was measured, between two measured sizes on the straight line between them. */
final class Measurements {

  private final List<Point> points;

  Measurements(List<Measurement> measurements) {
    this.points =
        measurements.stream().flatMap(measurement -> measurement.points().stream()).toList();
  }

  /** A measure that depends on nothing. */
  Optional<Double> value(Measure measure) {
    return points(measure).findFirst().map(Point::value);
  }

  /** A measure at a size; beyond the measured sizes the value of the nearest one. */
  Optional<Double> atSize(Measure measure, double size) {
    return between(
        points(measure).sorted(Comparator.comparingDouble(Point::size)).toList(),
        size,
        Point::size);
  }

  /** A measure under a load; beyond the measured loads the value of the nearest one. */
  Optional<Double> atLoad(Measure measure, double load) {
    return between(
        points(measure).sorted(Comparator.comparingDouble(Point::load)).toList(),
        load,
        Point::load);
  }

  /** A measure at exactly this size and load. */
  Optional<Double> exactly(Measure measure, double size, double load) {
    return points(measure)
        .filter(point -> point.size() == size && point.load() == load)
        .findFirst()
        .map(Point::value);
  }

  private Stream<Point> points(Measure measure) {
    return points.stream().filter(point -> point.measure() == measure);
  }

  /** Which number of a point counts. */
  @FunctionalInterface
  private interface Axis {
    double of(Point point);
  }

  private static Optional<Double> between(List<Point> sorted, double wanted, Axis axis) {
    Optional<Point> below =
        sorted.stream().filter(point -> axis.of(point) <= wanted).reduce((first, next) -> next);
    Optional<Point> above = sorted.stream().filter(point -> axis.of(point) >= wanted).findFirst();
    if (below.isEmpty() || above.isEmpty()) {
      return below.or(() -> above).map(Point::value);
    }
    double span = axis.of(above.get()) - axis.of(below.get());
    double share = span == 0 ? 0 : (wanted - axis.of(below.get())) / span;
    return Optional.of(below.get().value() + share * (above.get().value() - below.get().value()));
  }
}
