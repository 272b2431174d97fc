package org.marjoramsail.command.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;
import org.marjoramsail.platform.standin.ServerVisits;
import org.marjoramsail.standin.network.LinkStandIn;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Soak of daemons that are processes, before stand-ins of the users' platform: faults come in
 * random order and overlap while callers send requests, and servers count what arrives.
 */
public final class PlatformSoak {

  private static final Logger LOGGER = LoggerFactory.getLogger(PlatformSoak.class);
  private static final ServerStandIn.Pace ENGINE_PACE = new ServerStandIn.Pace(30, 30, 90, 16);
  private static final ServerStandIn.Pace PLAIN_PACE = new ServerStandIn.Pace(1, 43, 0, 30);
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long START_SECONDS = 180;

  /** Time without faults before the first one, in which daemons find each other. */
  private static final long QUIET_MILLIS = 2_000;

  private static final long SHORTEST_PAUSE_MILLIS = 300;
  private static final long LONGEST_PAUSE_MILLIS = 2_500;

  /** Time after the last request in which responses are awaited; callers give up sooner. */
  private static final long LAST_RESPONSES_MILLIS = 5_000;

  /** Time before the end of the soak in which metrics are no longer read. */
  private static final long RELAYED_MILLIS = 1_000;

  private static final long PULSE_MILLIS = 20;

  /** Time without a pulse after which the soak itself has stood still, and judges nothing. */
  private static final long STALL_MILLIS = 250;

  private final Clock clock;
  private final ProcessDaemons factory;
  private final Map<PlatformFault, Integer> faults = new EnumMap<>(PlatformFault.class);
  private final Map<String, LinkStandIn> links = new ConcurrentHashMap<>();
  private int stalls;

  /** Creates a soak; it can be run once. */
  public PlatformSoak(Clock clock, ProcessDaemons factory) {
    this.clock = clock;
    this.factory = factory;
  }

  /**
   * Starts the fleet, sends requests while faults happen, and ends the fleet.
   *
   * @throws FleetException if the fleet does not start or run in time
   */
  public PlatformSoakReport run(PlatformSoakSetup setup) throws FleetException {
    Vertx vertx = Vertx.vertx();
    try {
      return run(vertx, setup);
    } finally {
      FleetRun.await("close", vertx.close(), START_SECONDS);
    }
  }

  private PlatformSoakReport run(Vertx vertx, PlatformSoakSetup setup) throws FleetException {
    SoakArrivals arrivals = new SoakArrivals(clock, setup.retrySlack());
    PlatformStandIn platform = platform(vertx, setup);
    FleetRun.await("start", platform.start(), START_SECONDS);
    for (String service : List.of(PlatformStandIn.ENGINES, PlatformStandIn.DESK)) {
      platform.listed(service).forEach(server -> arrivals.observe(platform, service, server));
    }
    PlatformProcesses daemons = processes(vertx, platform, setup, arrivals);
    Random random = new Random(setup.seed());
    SoakLoad load =
        new SoakLoad(
            vertx, clock, setup, platform, daemons, arrivals, new Random(random.nextLong()));
    LeavingCallers leaving =
        new LeavingCallers(
            vertx, clock, setup, platform, daemons, arrivals, new Random(setup.seed()));
    RelayedCalls relayed = new RelayedCalls(vertx, clock, daemons);
    RouteLog routes = new RouteLog();
    try {
      FleetRun.await("start", daemons.startAll(), START_SECONDS);
      long loadMillis = setup.seconds() * MILLIS_PER_SECOND;
      long endMillis = clock.millis() + loadMillis;
      PlatformSoakStage stage =
          new PlatformSoakStage(
              vertx, clock, platform, daemons, links, arrivals, load, routes, endMillis);
      vertx.runOnContext(
          nothing -> {
            load.start(endMillis);
            new KeptConnections(vertx, clock, setup, daemons, load).start(endMillis);
            leaving.start(endMillis);
            new RouteProbes(vertx, clock, daemons, arrivals, routes, new Random(setup.seed()))
                .start(endMillis);
            relayed.start(endMillis + LAST_RESPONSES_MILLIS - RELAYED_MILLIS);
            stage.restartCrashedServers(new Random(random.nextLong()));
            watchPulse(vertx, arrivals);
            vertx.setTimer(
                QUIET_MILLIS, fired -> nextFault(vertx, stage, setup, random, endMillis));
          });
      FleetRun.await(
          "run",
          vertx.timer(loadMillis + LAST_RESPONSES_MILLIS, TimeUnit.MILLISECONDS),
          setup.seconds() + START_SECONDS);
    } finally {
      daemons.end();
    }
    PlatformSoakReport report = report(platform, load, arrivals, relayed.count(), routes);
    logLosses(report);
    return report;
  }

  /** Logs what the daemons have logged about lost calls, whose files may not outlive the soak. */
  private void logLosses(PlatformSoakReport report) throws FleetException {
    try {
      new DaemonLogs(factory.directory()).linesOf(report.unanswered().lost()).forEach(LOGGER::warn);
    } catch (IOException failure) {
      throw new FleetException("read the logs of the daemons", failure);
    }
  }

  private PlatformStandIn platform(Vertx vertx, PlatformSoakSetup setup) {
    return new PlatformStandIn(
        vertx,
        new ObjectMapper(),
        LoopbackPlatform.ADDRESS,
        new PlatformStandIn.Size(
            setup.prefillServers(),
            setup.decodeServers(),
            setup.plainServers(),
            ENGINE_PACE,
            PLAIN_PACE),
        (server, port) -> {
          LinkStandIn link =
              new LinkStandIn(
                  vertx, clock, LinkStandIn::retransmissionDelayMillis, setup.pathMillis());
          links.put(server, link);
          return link.start(LoopbackPlatform.ADDRESS, port);
        });
  }

  private PlatformProcesses processes(
      Vertx vertx, PlatformStandIn platform, PlatformSoakSetup setup, SoakArrivals arrivals)
      throws FleetException {
    try {
      return new PlatformProcesses(vertx, factory, platform.storePort(), setup, clock, arrivals);
    } catch (IOException failure) {
      throw new FleetException("find free ports", failure);
    }
  }

  /**
   * Records pauses of this process as disturbances of the store, without which no arrival is
   * judged: its stand-ins receive late what daemons have sent in time.
   */
  private void watchPulse(Vertx vertx, SoakArrivals arrivals) {
    AtomicLong lastMillis = new AtomicLong(clock.millis());
    vertx.setPeriodic(
        PULSE_MILLIS,
        timer -> {
          long nowMillis = clock.millis();
          long sinceMillis = lastMillis.getAndSet(nowMillis);
          if (nowMillis - sinceMillis > STALL_MILLIS) {
            stalls++;
            arrivals.stalled(sinceMillis);
          }
        });
  }

  private void nextFault(
      Vertx vertx,
      PlatformSoakStage stage,
      PlatformSoakSetup setup,
      Random random,
      long endMillis) {
    if (setup.faults().isEmpty() || clock.millis() >= endMillis) {
      return;
    }
    PlatformFault fault = setup.faults().get(random.nextInt(setup.faults().size()));
    if (fault.isPossible(stage)) {
      faults.merge(fault, 1, Integer::sum);
      fault.begin(stage, random);
    }
    long pauseMillis = random.nextLong(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
    vertx.setTimer(pauseMillis, fired -> nextFault(vertx, stage, setup, random, endMillis));
  }

  private static PlatformSoakReport.Responses responses(
      PlatformStandIn platform, SoakLoad load, int relayed) {
    Map<String, Integer> repeated = new TreeMap<>();
    Map<String, Integer> early = new TreeMap<>();
    int connections = 0;
    int met = 0;
    for (ServerVisits server : platform.servers().stream().map(ServerStandIn::visits).toList()) {
      server.repeated().forEach((kind, count) -> repeated.merge(kind, count, Integer::sum));
      server.early().forEach((kind, count) -> early.merge(kind, count, Integer::sum));
      connections += server.connectionsOpened();
      met += server.repeatedToWaiting();
    }
    return new PlatformSoakReport.Responses(
        platform.visits().size(), connections, relayed, repeated, met, early, load.broken());
  }

  private PlatformSoakReport report(
      PlatformStandIn platform,
      SoakLoad load,
      SoakArrivals arrivals,
      int relayed,
      RouteLog routes) {
    Set<String> ran = new HashSet<>();
    List<String> ranTwice = new ArrayList<>();
    for (String request : platform.runs()) {
      if (!ran.add(request) && load.isOnce(request)) {
        ranTwice.add(request);
      }
    }
    return new PlatformSoakReport(
        new PlatformSoakReport.Load(load.requests(), load.lateRequests(), stalls),
        load.kinds(),
        load.losses(),
        faults,
        arrivals.worstWindows(),
        arrivals.draining(),
        load.streams(),
        ranTwice,
        load.toldNotRun().stream().filter(ran::contains).toList(),
        arrivals.silence(),
        arrivals.crashes(),
        arrivals.unanswered(),
        arrivals.departures(),
        responses(platform, load, relayed),
        load.storeReturn(),
        routes.result());
  }
}
