package org.marjoramsail.command.capacity;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ConfigurationChange;
import org.marjoramsail.core.configuration.ConfigurationOperation;
import org.marjoramsail.core.configuration.ConfigurationRoot;
import org.marjoramsail.core.configuration.OrderId;
import org.marjoramsail.core.configuration.RevisionDeltaMessage;
import org.marjoramsail.core.configuration.RevisionFullMessage;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.daemon.configuration.ConfigurationFormat;
import org.marjoramsail.daemon.placement.ConfiguredShards;

/** What a configuration of the target size costs to keep, to change and to spread. */
final class ConfigurationPart {

  private static final List<Integer> UPSTREAMS = List.of(20, 770, 3_100);
  private static final List<Integer> DAEMONS = List.of(7, 100, 200, 390);
  private static final int TARGET_UPSTREAMS = 770;
  private static final long START_MILLIS = 30_000;
  private static final long MINUTE_MILLIS = 60_000;
  private static final long WITHIN_MILLIS = 60_000;
  private static final int CHANGES = 5;
  private static final int APPLIES = 20;
  private static final double NANOS_PER_MILLI = 1_000_000;
  private static final double SECONDS_PER_MINUTE = 60;

  private final long seed;
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  ConfigurationPart(long seed) {
    this.seed = seed;
  }

  List<Point> measure() {
    List<Point> points = new ArrayList<>();
    for (int upstreams : UPSTREAMS) {
      sizes(upstreams, points);
    }
    for (int daemons : DAEMONS) {
      spread(daemons, points);
    }
    return points;
  }

  private void sizes(int upstreams, List<Point> points) {
    Configuration configuration = TargetConfiguration.of(upstreams);
    ConfigurationRoot root = new ConfigurationRoot(configuration, List.of());
    int rootBytes = ConfigurationFormat.toText(root).getBytes(StandardCharsets.UTF_8).length;
    points.add(Point.of(Measure.ROOT_BYTES, upstreams, rootBytes));
    points.add(Point.of(Measure.REVISION_APPLY, upstreams, applyMillis(configuration)));
    VirtualConfigurationFleet pair = started(2, configuration);
    points.add(
        Point.of(
            Measure.REVISION_FULL_BYTES, upstreams, pair.largestFrame(RevisionFullMessage.class)));
    change(pair, 1);
    pair.runUntilInForce(2, WITHIN_MILLIS);
    points.add(
        Point.of(
            Measure.REVISION_DELTA_BYTES,
            upstreams,
            pair.largestFrame(RevisionDeltaMessage.class)));
  }

  private double applyMillis(Configuration configuration) {
    Member self =
        new Member(
            new DaemonId("entry-host-0", 1),
            TargetConfiguration.address(0),
            1,
            TargetConfiguration.availabilityZone(0),
            TargetConfiguration.region(0),
            MemberState.ALIVE);
    ConfiguredShards shards =
        new ConfiguredShards(
            self, PlacementPolicy.RESERVE, PlacementSettings.defaults(), new Random(seed), () -> 0);
    for (int warmUp = 0; warmUp < APPLIES; warmUp++) {
      shards.configure(configuration);
    }
    long before = threads.getCurrentThreadCpuTime();
    for (int apply = 0; apply < APPLIES; apply++) {
      shards.configure(configuration);
    }
    return (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_MILLI / APPLIES;
  }

  private VirtualConfigurationFleet started(int daemons, Configuration configuration) {
    VirtualConfigurationFleet fleet = new VirtualConfigurationFleet(daemons, seed);
    ConfigurationRoot root = new ConfigurationRoot(configuration, List.of());
    fleet.store().create("configurations", "root", ConfigurationFormat.toTree(root));
    fleet.time().run(10);
    fleet.start();
    return fleet;
  }

  private void spread(int daemons, List<Point> points) {
    VirtualConfigurationFleet fleet = started(daemons, TargetConfiguration.of(TARGET_UPSTREAMS));
    long ready = fleet.runUntilInForce(1, START_MILLIS);
    fleet.time().run(START_MILLIS - ready);
    points.add(Point.of(Measure.START_READY, daemons, (double) ready));
    points.add(Point.of(Measure.START_STORE_CALLS, daemons, (double) fleet.store().calls()));
    points.add(
        Point.of(Measure.START_BUSIEST_SECOND, daemons, (double) fleet.store().busiestSecond()));
    rest(fleet, daemons, points);
    changes(fleet, daemons, points);
    outage(fleet, daemons, points);
  }

  private void rest(VirtualConfigurationFleet fleet, int daemons, List<Point> points) {
    long messages = fleet.messages();
    long bytes = fleet.bytes();
    long calls = fleet.store().calls();
    long nanos = threads.getCurrentThreadCpuTime();
    fleet.time().run(MINUTE_MILLIS);
    double core =
        (threads.getCurrentThreadCpuTime() - nanos) / NANOS_PER_MILLI / MINUTE_MILLIS / daemons;
    double perDaemon = SECONDS_PER_MINUTE * daemons;
    points.add(
        Point.of(
            Measure.REST_MESSAGES, daemons, (double) (fleet.messages() - messages) / perDaemon));
    points.add(Point.of(Measure.REST_BYTES, daemons, (double) (fleet.bytes() - bytes) / perDaemon));
    points.add(Point.of(Measure.REST_CORE, daemons, 100 * core));
    points.add(
        Point.of(
            Measure.REST_STORE_CALLS,
            daemons,
            (double) (fleet.store().calls() - calls) / SECONDS_PER_MINUTE));
    points.add(Point.of(Measure.REST_WATCHES, daemons, fleet.store().watches()));
  }

  /** Means over some changes; what the fleet says at rest meanwhile is small and included. */
  private void changes(VirtualConfigurationFleet fleet, int daemons, List<Point> points) {
    long reached = 0;
    long messages = fleet.messages();
    long bytes = fleet.bytes();
    long reads = fleet.store().reads();
    long writes = fleet.store().writes();
    long nanos = threads.getCurrentThreadCpuTime();
    for (int number = 1; number <= CHANGES; number++) {
      change(fleet, number);
      reached = Math.max(reached, fleet.runUntilInForce(number + 1, WITHIN_MILLIS));
    }
    double millis = (threads.getCurrentThreadCpuTime() - nanos) / NANOS_PER_MILLI;
    points.add(Point.of(Measure.REVISION_REACHED, daemons, (double) reached));
    points.add(Point.of(Measure.REVISION_MESSAGES, daemons, mean(fleet.messages() - messages)));
    points.add(Point.of(Measure.REVISION_BYTES, daemons, mean(fleet.bytes() - bytes)));
    points.add(Point.of(Measure.REVISION_PROCESSOR, daemons, millis / CHANGES / daemons));
    points.add(Point.of(Measure.CHANGE_READS, daemons, mean(fleet.store().reads() - reads)));
    points.add(Point.of(Measure.CHANGE_WRITES, daemons, mean(fleet.store().writes() - writes)));
  }

  private static double mean(long sum) {
    return sum / (double) CHANGES;
  }

  private static void outage(VirtualConfigurationFleet fleet, int daemons, List<Point> points) {
    fleet.store().outage(true);
    fleet.time().run(MINUTE_MILLIS);
    long calls = fleet.store().calls();
    fleet.time().run(MINUTE_MILLIS);
    points.add(
        Point.of(Measure.OUTAGE_STORE_CALLS, daemons, (double) (fleet.store().calls() - calls)));
    fleet.store().outage(false);
    calls = fleet.store().calls();
    fleet.time().run(MINUTE_MILLIS);
    points.add(
        Point.of(Measure.RECOVERY_STORE_CALLS, daemons, (double) (fleet.store().calls() - calls)));
  }

  private static void change(VirtualConfigurationFleet fleet, int number) {
    fleet.accept(
        new ConfigurationChange(
            new OrderId("order-" + number),
            "operator",
            "another weight",
            Optional.empty(),
            List.of(
                new ConfigurationOperation.Put(
                    TargetConfiguration.organisation(number, 1.0 + number)))));
  }
}
