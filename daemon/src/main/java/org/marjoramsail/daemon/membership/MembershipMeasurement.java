package org.marjoramsail.daemon.membership;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.marjoramsail.core.membership.MemberState;
import org.marjoramsail.core.membership.MembershipSettings;
import org.marjoramsail.core.membership.VirtualFleet;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.peer.PeerCodec;
import org.marjoramsail.daemon.peer.PeerCodecException;

/**
 * Measures the cost of membership for one daemon, in fleets of several sizes.
 *
 * <p>The failure detectors of all daemons run on a virtual clock in one thread; each message is
 * encoded and decoded. The cost includes the detector, the codec, frame lengths and the work of the
 * simulated network. It excludes sockets, system calls, TCP and IP headers, handshakes and buffers.
 */
public final class MembershipMeasurement {

  private static final int LENGTH_BYTES = Integer.BYTES;
  private static final int MAXIMUM_BYTES = 1 << 20;
  private static final long SETTLE_MILLIS = 180_000;
  private static final long PERIOD_MILLIS = 60_000;
  private static final long STEP_MILLIS = 50;
  private static final long DETECTION_LIMIT_MILLIS = 30_000;
  private static final int RESTARTS = 10;
  private static final int MINIMUM_DAEMONS_FOR_TWO_REGIONS = 50;
  private static final int AVAILABILITY_ZONES = 5;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double NANOS_PER_MILLI = 1_000_000;

  /**
   * Average cost for one daemon.
   *
   * @param sentBytesPerSecond bytes of frames sent per second; as many are received
   * @param sentMessagesPerSecond messages sent per second; as many are received
   * @param processorPercent processor time, in percent of one core
   */
  public record Cost(
      double sentBytesPerSecond, double sentMessagesPerSecond, double processorPercent) {}

  /**
   * Distribution of the time from a failure until the other daemons have detected it.
   *
   * @param medianMillis the median over all daemons, in milliseconds
   * @param percentile99Millis the 99th percentile, in milliseconds
   * @param longestMillis the maximum, in milliseconds
   */
  public record Detection(long medianMillis, long percentile99Millis, long longestMillis) {}

  /**
   * Measurement of one fleet size.
   *
   * @param daemons the number of daemons
   * @param steady the cost while no daemon fails or restarts
   * @param churning the cost with a failure and ten restarts in a minute
   * @param stateBytes the approximate memory of one daemon's detector, in bytes
   * @param detection the detection times over all daemons and simulated failures
   */
  public record Row(
      int daemons, Cost steady, Cost churning, long stateBytes, Detection detection) {}

  /**
   * Linear fit of a measure over the fleet size.
   *
   * @param base the intercept
   * @param perDaemon the slope
   */
  public record Line(double base, double perDaemon) {

    /** Returns the fitted measure of a fleet size. */
    public double at(int daemons) {
      return base + perDaemon * daemons;
    }
  }

  /**
   * Measurements of all fleet sizes.
   *
   * @param rows one measurement for each size
   * @param churningBytes the least-squares fit of the bytes sent per second with failures
   */
  public record Report(List<Row> rows, Line churningBytes) {}

  private final MembershipSettings settings;
  private final long seed;
  private final int failures;
  private final PeerCodec codec = new PeerCodec(MAXIMUM_BYTES);
  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();

  private long bytes;
  private long messages;

  /**
   * Creates an instance.
   *
   * @param seed the random seed; determines the bytes and detection times
   * @param failures the number of simulated failures for each size
   */
  public MembershipMeasurement(MembershipSettings settings, long seed, int failures) {
    this.settings = settings;
    this.seed = seed;
    this.failures = failures;
  }

  /** Measures fleets of the given sizes in sequence. */
  public Report measure(List<Integer> sizes) {
    List<Row> rows = new ArrayList<>();
    for (int daemons : sizes) {
      rows.add(row(daemons));
    }
    return new Report(List.copyOf(rows), churningBytes(rows));
  }

  private Row row(int daemons) {
    long before = usedBytes();
    VirtualFleet fleet = fleet(daemons);
    fleet.run(SETTLE_MILLIS);
    long state = Math.max(0, usedBytes() - before) / daemons;
    Cost steady = cost(daemons, () -> fleet.run(PERIOD_MILLIS));
    Cost churning = cost(daemons, () -> churn(fleet));
    return new Row(daemons, steady, churning, state, detection(fleet, daemons));
  }

  private VirtualFleet fleet(int daemons) {
    VirtualFleet fleet = new VirtualFleet(settings, new SplittableRandom(seed), this::count);
    for (int number = 0; number < daemons; number++) {
      int zone = number % AVAILABILITY_ZONES;
      boolean isSecondRegion =
          daemons >= MINIMUM_DAEMONS_FOR_TWO_REGIONS && zone >= AVAILABILITY_ZONES / 2 + 1;
      fleet.start(
          host(number), "availability-zone-" + zone, isSecondRegion ? "region-b" : "region-a");
    }
    return fleet;
  }

  private static void churn(VirtualFleet fleet) {
    fleet.kill(host(2));
    long restartIntervalMillis = PERIOD_MILLIS / RESTARTS;
    int others = fleet.running().size() - 2;
    for (int restart = 0; restart < RESTARTS; restart++) {
      fleet.restart(host(3 + restart % (others - 1)));
      fleet.run(restartIntervalMillis);
    }
    fleet.restart(host(2));
  }

  private Detection detection(VirtualFleet fleet, int daemons) {
    fleet.run(SETTLE_MILLIS);
    List<Long> times = new ArrayList<>();
    for (int failure = 0; failure < failures; failure++) {
      String failedHost = host(2 + failure % (daemons - 2));
      fleet.run(settings.probePeriodMillis() * 40 + 37L * failure);
      times.addAll(detectionTimes(fleet, failedHost));
      fleet.restart(failedHost);
    }
    Collections.sort(times);
    return new Detection(
        times.get(times.size() / 2),
        times.get(times.size() * 99 / 100),
        times.get(times.size() - 1));
  }

  private static List<Long> detectionTimes(VirtualFleet fleet, String failedHost) {
    List<Long> times = new ArrayList<>();
    fleet.kill(failedHost);
    Set<String> pendingObservers = new HashSet<>();
    fleet.running().forEach(daemon -> pendingObservers.add(daemon.host()));
    long elapsedMillis = 0;
    while (!pendingObservers.isEmpty() && elapsedMillis < DETECTION_LIMIT_MILLIS) {
      fleet.run(STEP_MILLIS);
      elapsedMillis += STEP_MILLIS;
      for (String observer : List.copyOf(pendingObservers)) {
        if (fleet.observedState(observer, failedHost).equals(Optional.of(MemberState.DEAD))) {
          pendingObservers.remove(observer);
          times.add(elapsedMillis);
        }
      }
    }
    for (int observer = 0; observer < pendingObservers.size(); observer++) {
      times.add(DETECTION_LIMIT_MILLIS);
    }
    return times;
  }

  private Cost cost(int daemons, Runnable workload) {
    bytes = 0;
    messages = 0;
    long before = threads.getCurrentThreadCpuTime();
    workload.run();
    double processorMillis = (threads.getCurrentThreadCpuTime() - before) / NANOS_PER_MILLI;
    double seconds = PERIOD_MILLIS / MILLIS_PER_SECOND;
    return new Cost(
        bytes / seconds / daemons,
        messages / seconds / daemons,
        100 * processorMillis / PERIOD_MILLIS / daemons);
  }

  private void count(DaemonId from, PeerMessage message) {
    try {
      byte[] body = codec.encode(message);
      codec.decode(body);
      bytes += LENGTH_BYTES + body.length;
      messages++;
    } catch (PeerCodecException e) {
      throw new IllegalStateException("A message of " + from + " cannot be encoded or decoded.", e);
    }
  }

  private static Line churningBytes(List<Row> rows) {
    double meanSize = rows.stream().mapToInt(Row::daemons).average().orElse(0);
    double meanBytes =
        rows.stream().mapToDouble(row -> row.churning().sentBytesPerSecond()).average().orElse(0);
    double covariance = 0;
    double variance = 0;
    for (Row row : rows) {
      double distance = row.daemons() - meanSize;
      covariance += distance * (row.churning().sentBytesPerSecond() - meanBytes);
      variance += distance * distance;
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new Line(meanBytes - slope * meanSize, slope);
  }

  private static long usedBytes() {
    System.gc();
    return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
  }

  private static String host(int number) {
    return "entry-host-" + number;
  }
}
