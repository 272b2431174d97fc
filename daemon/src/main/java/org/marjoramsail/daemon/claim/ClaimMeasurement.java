package org.marjoramsail.daemon.claim;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicLongArray;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.claim.ClaimKey;
import org.marjoramsail.core.claim.ClaimOutcome;
import org.marjoramsail.core.claim.ClaimResult.Kind;
import org.marjoramsail.core.claim.ClaimSettings;
import org.marjoramsail.core.claim.ClaimState;
import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.platform.ObjectApi;

/**
 * Load test that measures the latency of claims and the number of store writes, with several
 * daemons in one process.
 *
 * <p>Each claim has a new key and is settled immediately after its result. Messages between daemons
 * have a fixed delay instead of a network connection. Claims are sent at a fixed rate, independent
 * of the results, so that queueing appears in the latency.
 */
public final class ClaimMeasurement {

  private static final int MAXIMUM_MILLIS = 60_000;
  private static final int BUCKETS_PER_MILLI = 10;
  private static final double NANOS_PER_BUCKET = 1_000_000.0 / BUCKETS_PER_MILLI;
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long DRAIN_MILLIS = 6_000;
  private static final long CLAIM_WITHIN_MILLIS = 5_000;

  /**
   * Parameters of a measurement.
   *
   * @param daemons number of daemons that claim
   * @param claimsPerSecond number of claims per second, of all daemons together
   * @param warmUpSeconds duration of the load before the measured interval
   * @param seconds duration of the measured interval
   * @param hopMillis delay of a message between two daemons; greater than zero
   * @param shared whether one daemon batches a segment for all daemons, or each daemon for itself
   */
  public record Load(
      int daemons,
      int claimsPerSecond,
      int warmUpSeconds,
      int seconds,
      long hopMillis,
      boolean shared) {}

  /** A daemon with its own event loop. */
  private record Daemon(Context context, PeerClaimService service) {}

  private final Vertx vertx;
  private final Clock clock;
  private final ClaimSettings settings;
  private final RandomGenerator random;
  private final MeterRegistry meters = new SimpleMeterRegistry();
  private final Map<DaemonId, Daemon> daemons = new ConcurrentHashMap<>();
  private final List<Daemon> daemonList = new CopyOnWriteArrayList<>();
  private final AtomicLongArray buckets = new AtomicLongArray(MAXIMUM_MILLIS * BUCKETS_PER_MILLI);
  private final AtomicLong granted = new AtomicLong();
  private final AtomicLong otherResults = new AtomicLong();
  private final AtomicLong nextKey = new AtomicLong();

  /** Creates a measurement that can be run once. */
  public ClaimMeasurement(
      Vertx vertx, Clock clock, ClaimSettings settings, RandomGenerator random) {
    this.vertx = vertx;
    this.clock = clock;
    this.settings = settings;
    this.random = random;
  }

  /**
   * Starts the daemons, runs the load and returns the measured values.
   *
   * @param api returns the object API client of a daemon by its number, counted from zero
   */
  public Future<ClaimMeasurementReport> run(Load load, IntFunction<ObjectApi> api) {
    return startDaemons(load, api).compose(started -> measure(load));
  }

  private Future<ClaimMeasurementReport> measure(Load load) {
    long startMillis = clock.millis();
    long measureFromMillis = startMillis + load.warmUpSeconds() * MILLIS_PER_SECOND;
    long measureToMillis = measureFromMillis + load.seconds() * MILLIS_PER_SECOND;
    AtomicLong claimsSent = new AtomicLong();
    AtomicLong writesBefore = new AtomicLong(-1);
    Promise<ClaimMeasurementReport> done = Promise.promise();
    vertx.setPeriodic(
        1,
        timer -> {
          long now = clock.millis();
          if (now >= measureFromMillis) {
            writesBefore.compareAndSet(-1, writes());
          }
          if (now >= measureToMillis) {
            vertx.cancelTimer(timer);
            long writes = writes() - writesBefore.get();
            vertx.setTimer(DRAIN_MILLIS, unused -> done.complete(report(load, writes)));
            return;
          }
          long claimsDue = (now - startMillis) * load.claimsPerSecond() / MILLIS_PER_SECOND;
          while (claimsSent.get() < claimsDue) {
            claimsSent.incrementAndGet();
            sendClaim(now >= measureFromMillis);
          }
        });
    return done.future();
  }

  private Future<?> startDaemons(Load load, IntFunction<ObjectApi> api) {
    List<DaemonId> all = new ArrayList<>();
    for (int daemon = 0; daemon < load.daemons(); daemon++) {
      all.add(new DaemonId("daemon-" + daemon, 1));
    }
    List<Future<String>> started = new ArrayList<>();
    for (int daemon = 0; daemon < load.daemons(); daemon++) {
      DaemonId self = all.get(daemon);
      Collection<DaemonId> live = load.shared() ? all : List.of(self);
      ObjectApi ownApi = api.apply(daemon);
      started.add(vertx.deployVerticle(verticle(load, self, live, ownApi)));
    }
    return Future.all(started);
  }

  private VerticleBase verticle(
      Load load, DaemonId self, Collection<DaemonId> live, ObjectApi api) {
    return new VerticleBase() {
      @Override
      public Future<?> start() {
        PeerClaimService service =
            new PeerClaimService(
                vertx,
                self,
                settings,
                api,
                (to, message) -> send(load.hopMillis(), self, to, message),
                () -> live,
                clock,
                meters);
        Daemon daemon = new Daemon(context, service);
        daemons.put(self, daemon);
        daemonList.add(daemon);
        service.start();
        return Future.succeededFuture();
      }
    };
  }

  private void send(long hopMillis, DaemonId from, DaemonId to, PeerMessage message) {
    Daemon target = daemons.get(to);
    target
        .context()
        .runOnContext(
            hop -> vertx.setTimer(hopMillis, unused -> target.service().handle(from, message)));
  }

  private void sendClaim(boolean measured) {
    Daemon daemon = daemonList.get(random.nextInt(daemonList.size()));
    daemon.context().runOnContext(unused -> sendClaim(daemon.service(), measured));
  }

  private void sendClaim(PeerClaimService service, boolean measured) {
    String name = "key-" + nextKey.incrementAndGet();
    ClaimKey key = new ClaimKey("organisation", "service", name);
    String bodyHash = ClaimKey.bodyHash(name.getBytes(StandardCharsets.UTF_8));
    long startNanos = System.nanoTime();
    service
        .claim(new ClaimRequest(key, bodyHash, CLAIM_WITHIN_MILLIS))
        .onSuccess(
            result -> {
              if (measured) {
                recordResult(result.kind(), System.nanoTime() - startNanos);
              }
              service.settle(key, new ClaimOutcome(ClaimState.COMPLETED, 200, ""));
            });
  }

  private void recordResult(Kind kind, long nanos) {
    if (kind != Kind.GRANTED) {
      otherResults.incrementAndGet();
      return;
    }
    granted.incrementAndGet();
    int bucket = (int) Math.min(nanos / NANOS_PER_BUCKET, buckets.length() - 1.0);
    buckets.incrementAndGet(bucket);
  }

  private ClaimMeasurementReport report(Load load, long writes) {
    daemonList.forEach(daemon -> daemon.service().stop());
    return new ClaimMeasurementReport(
        load.daemons(),
        load.claimsPerSecond(),
        (double) granted.get() / load.seconds(),
        otherResults.get(),
        (double) writes / load.seconds(),
        writes() - writesByResult().getOrDefault("ok", 0L),
        percentile(0.50),
        percentile(0.95),
        percentile(0.99));
  }

  private long writes() {
    return writesByResult().values().stream().mapToLong(Long::longValue).sum();
  }

  private Map<String, Long> writesByResult() {
    Map<String, Long> counts = new TreeMap<>();
    for (Counter counter : meters.find("marjoramsail.claims.writes").counters()) {
      counts.put(counter.getId().getTag("result"), (long) counter.count());
    }
    return counts;
  }

  private double percentile(double share) {
    long targetCount = (long) Math.ceil(granted.get() * share);
    long cumulativeCount = 0;
    for (int bucket = 0; bucket < buckets.length(); bucket++) {
      cumulativeCount += buckets.get(bucket);
      if (cumulativeCount >= targetCount && cumulativeCount > 0) {
        return (bucket + 1.0) / BUCKETS_PER_MILLI;
      }
    }
    return Double.NaN;
  }
}
