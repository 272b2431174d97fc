package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.daemon.membership.MembershipMeasurement;

/** What membership costs one daemon: failure detectors of whole fleets on a virtual clock. */
final class MembershipPart {

  private static final List<Integer> SIZES = List.of(7, 25, 50, 100, 200, 390);
  private static final int DEATHS = 5;

  private final long seed;

  MembershipPart(long seed) {
    this.seed = seed;
  }

  List<Point> measure() {
    List<Point> points = new ArrayList<>();
    MembershipMeasurement measurement =
        new MembershipMeasurement(MembershipSettings.defaults(), seed, DEATHS);
    for (MembershipMeasurement.Row row : measurement.measure(SIZES).rows()) {
      int daemons = row.daemons();
      MembershipMeasurement.Cost cost = row.churning();
      points.add(Point.of(Measure.MEMBERSHIP_BYTES, daemons, cost.sentBytesPerSecond()));
      points.add(Point.of(Measure.MEMBERSHIP_MESSAGES, daemons, cost.sentMessagesPerSecond()));
      points.add(Point.of(Measure.MEMBERSHIP_CORE, daemons, cost.processorPercent()));
      points.add(Point.of(Measure.MEMBERSHIP_STATE, daemons, (double) row.stateBytes()));
      points.add(
          Point.of(
              Measure.MEMBERSHIP_KNOWN, daemons, (double) row.detection().percentile99Millis()));
    }
    return points;
  }
}
