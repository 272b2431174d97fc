package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * What a daemon adds: the same lookups straight to a plain service and through one daemon, in turns
 * of one run; and the most that a daemon with one event loop passes on.
 */
final class OverheadPart {

  private static final int RATE = 400;
  private static final int SECONDS = 10;
  private static final int ROUNDS = 3;
  private static final List<Integer> CALLERS = List.of(16, 64);
  private static final double NANOS_PER_MILLI = 1_000_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final String DIRECT_PATH = "/ballots/1/status";
  private static final String DAEMON_PATH = "/services/plataforma-votacion" + DIRECT_PATH;

  private final Bench bench;

  OverheadPart(Bench bench) {
    this.bench = bench;
  }

  List<Point> measure() throws CapacityException {
    List<Point> points = new ArrayList<>();
    try (MeasuredFleet fleet = MeasuredFleet.started(bench)) {
      List<Integer> services =
          fleet.fleet().upstreams().stream()
              .filter(upstream -> upstream.role() == UpstreamRole.PLAIN)
              .map(UpstreamDefinition::port)
              .toList();
      List<Integer> daemons = List.of(fleet.fleet().targets().get(0).port());
      try (Lookups direct = new Lookups(services, DIRECT_PATH);
          Lookups through = new Lookups(daemons, DAEMON_PATH)) {
        through.openLoop(RATE, SECONDS);
        direct.openLoop(RATE, SECONDS);
        steady(direct, through, points);
        for (int callers : CALLERS) {
          saturated(fleet, callers, direct, through, points);
        }
      }
    }
    return points;
  }

  private static void steady(Lookups direct, Lookups through, List<Point> points)
      throws CapacityException {
    Histogram directNanos = new Histogram(Lookups.DIGITS);
    Histogram throughNanos = new Histogram(Lookups.DIGITS);
    long failed = 0;
    for (int round = 0; round < ROUNDS; round++) {
      Lookups.Result alone = direct.openLoop(RATE, SECONDS);
      Lookups.Result passed = through.openLoop(RATE, SECONDS);
      directNanos.add(alone.nanos());
      throughNanos.add(passed.nanos());
      failed += alone.failed() + passed.failed();
    }
    points.add(at(Measure.DIRECT_P50, directNanos, 50));
    points.add(at(Measure.DIRECT_P99, directNanos, 99));
    points.add(at(Measure.DAEMON_P50, throughNanos, 50));
    points.add(at(Measure.DAEMON_P99, throughNanos, 99));
    points.add(new Point(Measure.OVERHEAD_FAILED, 0, RATE, (double) failed));
  }

  private static Point at(Measure measure, Histogram nanos, double percentile) {
    return new Point(measure, 0, RATE, nanos.getValueAtPercentile(percentile) / NANOS_PER_MILLI);
  }

  private static void saturated(
      MeasuredFleet fleet, int callers, Lookups direct, Lookups through, List<Point> points)
      throws CapacityException {
    double before = fleet.processorMillis();
    Lookups.Result passed = through.closedLoop(callers, SECONDS);
    double core = (fleet.processorMillis() - before) / (SECONDS * MILLIS_PER_SECOND);
    Lookups.Result alone = direct.closedLoop(callers, SECONDS);
    points.add(Point.of(Measure.SATURATED_REQUESTS, callers, passed.answered() / (double) SECONDS));
    points.add(Point.of(Measure.SATURATED_CORE, callers, 100 * core));
    points.add(Point.of(Measure.SATURATED_DIRECT, callers, alone.answered() / (double) SECONDS));
  }
}
