package org.marjoramsail.command.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementRequest;

/** Bytes of the messages between entry daemons and owners of shards. */
final class PlacementMessages {

  private static final List<Integer> HASHES = List.of(0, 16, 64, 108, 512, 1_875);
  private static final List<Integer> HELD = List.of(1, 10, 100);
  private static final List<Integer> DEMANDING = List.of(10, 100, 350);

  private PlacementMessages() {}

  static List<Point> measure() {
    List<Point> points = new ArrayList<>();
    for (int hashes : HASHES) {
      MessageCost place =
          new MessageCost(
              new PlacementMessage.Place(
                  TargetShard.SHARD, TargetShard.request(1, hashes), List.of()));
      points.add(Point.of(Measure.PLACE_BYTES, hashes, place.bytes()));
      points.add(Point.of(Measure.PLACE_MICROS, hashes, place.micros()));
    }
    MessageCost granted = new MessageCost(granted());
    points.add(Point.of(Measure.GRANTED_BYTES, granted.bytes()));
    points.add(Point.of(Measure.GRANTED_MICROS, granted.micros()));
    MessageCost report = new MessageCost(report());
    points.add(Point.of(Measure.REPORT_BYTES, report.bytes()));
    points.add(Point.of(Measure.REPORT_MICROS, report.micros()));
    for (int held : HELD) {
      MessageCost holdings = new MessageCost(holdings(held));
      points.add(Point.of(Measure.HOLDINGS_BYTES, held, holdings.bytes()));
      points.add(Point.of(Measure.HOLDINGS_MICROS, held, holdings.micros()));
    }
    MessageCost unknown =
        new MessageCost(new PlacementMessage.Unknown(TargetShard.SHARD, List.of()));
    points.add(Point.of(Measure.UNKNOWN_BYTES, unknown.bytes()));
    for (int organisations : DEMANDING) {
      points.add(
          Point.of(
              Measure.USAGE_BYTES, organisations, new MessageCost(usage(organisations)).bytes()));
    }
    return points;
  }

  private static PlacementMessage granted() {
    PlacementRequest request = TargetShard.request(1, 0);
    return new PlacementMessage.Granted(
        TargetShard.SHARD,
        new Grant(
            request.request(),
            1,
            GrantMode.DISAGGREGATED,
            Optional.of(new UpstreamName("server-100")),
            new UpstreamName("server-101"),
            200,
            40));
  }

  private static PlacementMessage report() {
    return new PlacementMessage.Report(
        TargetShard.SHARD,
        new AttemptReport(
            TargetShard.request(1, 0).request(),
            1,
            AttemptPhase.PREFILLED,
            Optional.empty(),
            Optional.empty(),
            512,
            200,
            0),
        List.of());
  }

  private static PlacementMessage holdings(int held) {
    List<PlacementMessage.Holding> holdings =
        IntStream.range(0, held)
            .mapToObj(number -> TargetShard.request(number, 0).request())
            .map(PlacementMessages::holding)
            .toList();
    return new PlacementMessage.Holdings(TargetShard.SHARD, holdings);
  }

  private static OrganisationUsageMessage usage(int organisations) {
    List<OrganisationUsageMessage.Usage> usages =
        IntStream.range(0, organisations)
            .mapToObj(
                number ->
                    new OrganisationUsageMessage.Usage(
                        "organisation-" + number, 10, 100, 10_000, 1_000))
            .toList();
    return new OrganisationUsageMessage(TargetShard.SHARD, 0, usages);
  }

  private static PlacementMessage.Holding holding(RequestId request) {
    return new PlacementMessage.Holding(request, 1, true);
  }
}
