package org.marjoramsail.command.capacity;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.LongAdder;
import org.marjoramsail.core.claim.Claim;
import org.marjoramsail.core.claim.ClaimId;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimMessage;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult;
import org.marjoramsail.core.claim.ClaimResultMessage;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.claim.SettleMessage;
import org.marjoramsail.core.claim.Settlement;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.daemon.claim.ClaimMeasurement;
import org.marjoramsail.daemon.claim.ClaimMeasurementReport;
import org.marjoramsail.daemon.platform.HttpObjectApi;
import org.marjoramsail.daemon.platform.HttpObjectApiSettings;
import org.marjoramsail.daemon.platform.ObjectApi;
import org.marjoramsail.standin.platform.PlatformSettings;
import org.marjoramsail.standin.platform.PlatformStandIn;

/** Claims against writes, added time and bytes, with the platform stand-in on loopback. */
final class ClaimsPart {

  private static final int DAEMONS = 24;
  private static final List<Integer> RATES = List.of(100, 500, 1_000, 2_000, 4_000);
  private static final int WARM_UP_SECONDS = 3;
  private static final int SECONDS = 10;
  private static final int LIMIT_SECONDS = 60;
  private static final long HOP_MILLIS = 1;
  private static final double MICROS_PER_MILLI = 1_000;
  private static final String LOOPBACK = "127.0.0.1";

  private final Bench bench;

  ClaimsPart(Bench bench) {
    this.bench = bench;
  }

  List<Point> measure() throws CapacityException {
    List<Point> points = new ArrayList<>();
    double bytes = 0;
    List<PeerMessage> messages = messagesOfOneClaim();
    for (PeerMessage message : messages) {
      bytes += new MessageCost(message).bytes();
    }
    points.add(Point.of(Measure.CLAIMS_PEER_MESSAGES, messages.size()));
    points.add(Point.of(Measure.CLAIMS_PEER_BYTES, bytes));
    for (int rate : RATES) {
      measure(rate, points);
    }
    return points;
  }

  private void measure(int rate, List<Point> points) throws CapacityException {
    Vertx platformLoops = Vertx.vertx();
    MeasuredLoop loop = new MeasuredLoop();
    SplittableRandom random = new SplittableRandom(bench.seed());
    PlatformStandIn platform =
        new PlatformStandIn(
            platformLoops, PlatformSettings.defaults(), bench.clock(), random.split());
    try {
      int port = Waiting.on("start the platform", platform.start(), LIMIT_SECONDS);
      LongAdder written = new LongAdder();
      ObjectApi store =
          new CountingObjectApi(
              new HttpObjectApi(
                  loop.vertx(),
                  HttpObjectApiSettings.defaults(LOOPBACK, port),
                  new SimpleMeterRegistry()),
              written);
      double before = loop.processorMillis();
      ClaimMeasurementReport report =
          Waiting.on(
              "claim",
              new ClaimMeasurement(
                      loop.vertx(), bench.clock(), ClaimSettings.defaults(), random.split())
                  .run(
                      new ClaimMeasurement.Load(
                          DAEMONS, rate, WARM_UP_SECONDS, SECONDS, HOP_MILLIS, true),
                      daemon -> store),
              LIMIT_SECONDS);
      double claims = rate * (double) (WARM_UP_SECONDS + SECONDS);
      double micros = (loop.processorMillis() - before) * MICROS_PER_MILLI / claims;
      double bytesPerSecond = written.sum() / (double) (WARM_UP_SECONDS + SECONDS);
      add(report, micros, bytesPerSecond, points);
    } finally {
      Waiting.on("stop", loop.close().eventually(platformLoops::close), LIMIT_SECONDS);
    }
  }

  private static void add(
      ClaimMeasurementReport report, double micros, double bytesPerSecond, List<Point> points) {
    double rate = report.requestedPerSecond();
    points.add(new Point(Measure.CLAIMS_GRANTED, DAEMONS, rate, report.grantedPerSecond()));
    points.add(new Point(Measure.CLAIMS_WRITES, DAEMONS, rate, report.writesPerSecond()));
    points.add(
        new Point(Measure.CLAIMS_FAILED_WRITES, DAEMONS, rate, (double) report.failedWrites()));
    points.add(new Point(Measure.CLAIMS_P50, DAEMONS, rate, report.p50Millis()));
    points.add(new Point(Measure.CLAIMS_P99, DAEMONS, rate, report.p99Millis()));
    points.add(new Point(Measure.CLAIMS_STORE_BYTES, DAEMONS, rate, bytesPerSecond));
    points.add(new Point(Measure.CLAIMS_PROCESSOR, DAEMONS, rate, micros));
  }

  private static List<PeerMessage> messagesOfOneClaim() {
    ClaimKey key = new ClaimKey("organisation-1", "service", "key-1");
    ClaimId id = new ClaimId(new DaemonId("entry-host-1", 1_700_000_000_000L), 1_000_000);
    ClaimOutcome outcome = new ClaimOutcome(ClaimState.COMPLETED, 200, "recorded");
    return List.of(
        new ClaimMessage(1, new Claim(id, key.hash(), ClaimKey.bodyHash(new byte[0]), 5_000)),
        new ClaimResultMessage(id, ClaimResult.of(ClaimResult.Kind.GRANTED)),
        new SettleMessage(1, new Settlement(id, key.hash(), outcome)));
  }
}
