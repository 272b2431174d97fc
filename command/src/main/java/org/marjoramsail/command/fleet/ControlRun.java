package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.marjoramsail.command.operator.DaemonUnreachableException;
import org.marjoramsail.command.operator.OperatorClient;
import org.marjoramsail.command.operator.OperatorReply;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.standin.platform.CallCounters;
import org.marjoramsail.standin.platform.CallVerb;

/** Measures what control costs and how fast it acts, on a local fleet without callers. */
public final class ControlRun {

  private static final String LOOPBACK = "127.0.0.1";
  private static final long START_SECONDS = 120;
  private static final long IN_FORCE_SECONDS = 30;
  private static final String REVISION_GAUGE = "marjoramsail_configuration_revision ";
  private static final String HOST_LIST_COUNTER =
      "marjoramsail_platform_hostlist_calls_total{result=\"ok\"} ";
  private static final double NANOS_PER_MILLI = 1e6;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** The kinds of objects that daemons keep. */
  private static final List<String> KINDS =
      List.of(
          "configurations",
          "configurationrevisions",
          "claimsegments",
          "leases",
          "orders",
          "orderstatuses",
          "auditrecords");

  private final Clock clock;
  private final FleetDaemonFactory factory;
  private final PrintStream output;

  /** Creates an instance with the time, what starts daemons, and where figures are printed. */
  public ControlRun(Clock clock, FleetDaemonFactory factory, PrintStream output) {
    this.clock = clock;
    this.factory = factory;
    this.output = output;
  }

  /**
   * Starts a fleet, changes its configuration some times, lets it rest, and stops it.
   *
   * @param changes how many changes, each through the next daemon
   * @param restSeconds how long calls are counted while nothing happens
   * @throws FleetException when the fleet does not start, answer or stop in time
   */
  public void run(FleetSetup setup, int changes, int restSeconds) throws FleetException {
    Vertx vertx = Vertx.vertx();
    LocalFleet fleet = new LocalFleet(vertx, clock, setup, factory);
    try {
      FleetRun.await("start", fleet.start(), START_SECONDS);
      rest(restSeconds);
      measureSpreading(vertx.createHttpClient(), fleet, changes);
      measureRest(vertx.createHttpClient(), fleet, restSeconds);
      FleetRun.await("stop", fleet.stop(), START_SECONDS);
    } finally {
      FleetRun.await("close", vertx.close(), START_SECONDS);
    }
  }

  private void measureSpreading(HttpClient metrics, LocalFleet fleet, int changes)
      throws FleetException {
    List<Double> fromSending = new ArrayList<>();
    List<Double> fromFirst = new ArrayList<>();
    List<Double> answered = new ArrayList<>();
    for (int change = 0; change < changes; change++) {
      FleetDaemon through = fleet.daemons().get(change % fleet.daemons().size());
      long target = Collections.max(revisions(metrics, fleet)) + 1;
      try (OperatorClient client =
          new OperatorClient(
              LOOPBACK, through.operatorPort(), LocalFleet.OPERATOR_TOKEN, Optional.empty())) {
        send(client, "show revision");
        long sent = System.nanoTime();
        Future<Double> answer = sendInBackground(client, statement(change), sent);
        long first = waitUntilInForce(metrics, fleet, target, 1);
        long last = waitUntilInForce(metrics, fleet, target, fleet.daemons().size());
        fromSending.add((last - sent) / NANOS_PER_MILLI);
        fromFirst.add((last - first) / NANOS_PER_MILLI);
        answered.add(FleetRun.await("answer", answer, START_SECONDS));
      }
    }
    print("order sent to in force on all", fromSending);
    print("in force on the first to in force on all", fromFirst);
    print("order sent to its answer", answered);
  }

  private static String statement(int change) {
    return "change rule ballot-status with deadline-millis = " + (1_000 + change);
  }

  /** The revisions in force, as the daemons' own gauges say them at about the same time. */
  private static List<Long> revisions(HttpClient metrics, LocalFleet fleet) throws FleetException {
    return gauges(metrics, fleet, REVISION_GAUGE);
  }

  private static long sum(List<Long> values) {
    return values.stream().mapToLong(Long::longValue).sum();
  }

  private static List<Long> gauges(HttpClient metrics, LocalFleet fleet, String name)
      throws FleetException {
    List<Future<Long>> read = new ArrayList<>();
    for (FleetDaemon daemon : fleet.daemons()) {
      read.add(
          metrics
              .request(HttpMethod.GET, daemon.operatorPort(), LOOPBACK, "/metrics")
              .compose(request -> request.send().compose(HttpClientResponse::body))
              .map(body -> gauge(body.toString(), name)));
    }
    FleetRun.await("metrics", Future.all(read), START_SECONDS);
    return read.stream().map(Future::result).toList();
  }

  private static long gauge(String metrics, String name) {
    return metrics
        .lines()
        .filter(line -> line.startsWith(name))
        .mapToLong(line -> (long) Double.parseDouble(line.substring(name.length())))
        .findFirst()
        .orElse(0);
  }

  /** Waits until a revision is in force on so many daemons; gives the time of the last look. */
  private long waitUntilInForce(HttpClient metrics, LocalFleet fleet, long revision, int daemons)
      throws FleetException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(IN_FORCE_SECONDS);
    while (System.nanoTime() < end) {
      long inForce = revisions(metrics, fleet).stream().filter(known -> known >= revision).count();
      if (inForce >= daemons) {
        return System.nanoTime();
      }
    }
    throw new FleetException(
        "in force on " + daemons + " within " + IN_FORCE_SECONDS + " s", new TimeoutException());
  }

  private static Future<Double> sendInBackground(
      OperatorClient client, String statement, long sentNanos) {
    return Future.fromCompletionStage(
        CompletableFuture.supplyAsync(
            () -> {
              send(client, statement);
              return (System.nanoTime() - sentNanos) / NANOS_PER_MILLI;
            }));
  }

  private static void send(OperatorClient client, String statement) {
    try {
      OperatorReply reply =
          client.send(statement, "control-" + System.nanoTime(), Optional.empty(), false);
      if (reply.isRefusal()) {
        throw new IllegalStateException(reply.body());
      }
    } catch (DaemonUnreachableException silent) {
      throw new IllegalStateException(silent);
    }
  }

  private void measureRest(HttpClient metrics, LocalFleet fleet, int seconds)
      throws FleetException {
    rest(seconds);
    List<Long> before = counts(fleet.platform().counters());
    long listsBefore = sum(gauges(metrics, fleet, HOST_LIST_COUNTER));
    long began = clock.millis();
    rest(seconds);
    List<Long> after = counts(fleet.platform().counters());
    long lists = sum(gauges(metrics, fleet, HOST_LIST_COUNTER)) - listsBefore;
    double perDaemon = (clock.millis() - began) / MILLIS_PER_SECOND * fleet.daemons().size();
    double all = 0;
    int position = 0;
    for (String kind : KINDS) {
      for (CallVerb verb : CallVerb.values()) {
        long calls = after.get(position) - before.get(position);
        position++;
        all += calls;
        if (calls > 0) {
          output.printf(
              "at rest, %s %s: %.4f a second for each daemon%n", verb, kind, calls / perDaemon);
        }
      }
    }
    output.printf("at rest, all store calls: %.4f a second for each daemon%n", all / perDaemon);
    output.printf("at rest, host list: %.4f a second for each daemon%n", lists / perDaemon);
  }

  private static List<Long> counts(CallCounters counters) {
    List<Long> counts = new ArrayList<>();
    for (String kind : KINDS) {
      Arrays.stream(CallVerb.values()).forEach(verb -> counts.add(counters.calls(verb, kind)));
    }
    return counts;
  }

  private void print(String what, List<Double> millis) {
    Collections.sort(millis);
    int count = millis.size();
    output.printf(
        "%s, %d changes, ms: p50 %.1f, p95 %.1f, maximum %.1f%n",
        what,
        count,
        millis.get(count / 2),
        millis.get(Math.min(count - 1, count * 95 / 100)),
        millis.get(count - 1));
  }

  private static void rest(int seconds) {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds);
    while (System.nanoTime() < end) {
      LockSupport.parkNanos(end - System.nanoTime());
    }
  }
}
