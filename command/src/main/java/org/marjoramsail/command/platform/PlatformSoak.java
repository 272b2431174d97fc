package org.marjoramsail.command.platform;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.command.fleet.FleetException;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.platform.standin.CallerStandIn.Answer;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;
import org.marjoramsail.standin.load.ArrivalLog;

/**
 * Soak of daemons that are processes, before stand-ins of the users' platform: faults come in
 * random order and overlap while callers send requests, and servers count what arrives.
 */
public final class PlatformSoak {

  private static final ServerStandIn.Pace ENGINE_PACE = new ServerStandIn.Pace(2, 30, 90, 14);
  private static final ServerStandIn.Pace PLAIN_PACE = new ServerStandIn.Pace(1, 43, 0, 30);
  private static final long MILLIS_PER_SECOND = 1_000;
  private static final long START_SECONDS = 180;

  /** Time without faults before the first one, in which daemons find each other. */
  private static final long QUIET_MILLIS = 2_000;

  private static final long SHORTEST_PAUSE_MILLIS = 300;
  private static final long LONGEST_PAUSE_MILLIS = 2_500;

  /** Time after the last request in which responses are awaited; callers give up sooner. */
  private static final long LAST_RESPONSES_MILLIS = 5_000;

  private static final long CALLER_TIMEOUT_MILLIS = 4_000;

  /** Share of the streams that may be resumed, in hundredths. */
  private static final int RESUMABLE_SHARE = 50;

  /** Share of the plain requests that may be repeated, in hundredths. */
  private static final int REPEATABLE_SHARE = 30;

  private static final int HUNDRED = 100;
  private static final int NO_ROOM = 429;
  private static final int NOT_NOW = 503;

  private final Clock clock;
  private final ProcessDaemons factory;
  private final Map<String, KindCount> kinds = new TreeMap<>();
  private final Map<String, ArrivalLog> arrivals = new HashMap<>();
  private final Map<PlatformFault, Integer> faults = new EnumMap<>(PlatformFault.class);
  private final Set<String> once = new HashSet<>();
  private final Set<String> toldNotRun = new HashSet<>();
  private int sequence;

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
    PlatformStandIn platform =
        new PlatformStandIn(
            vertx,
            new ObjectMapper(),
            LoopbackPlatform.ADDRESS,
            new PlatformStandIn.Size(
                setup.prefillServers(),
                setup.decodeServers(),
                setup.plainServers(),
                ENGINE_PACE,
                PLAIN_PACE));
    FleetRun.await("start", platform.start(), START_SECONDS);
    countArrivals(platform, setup);
    PlatformProcesses daemons = processes(vertx, platform, setup);
    try {
      FleetRun.await("start", daemons.startAll(), START_SECONDS);
      long loadMillis = setup.seconds() * MILLIS_PER_SECOND;
      long endMillis = clock.millis() + loadMillis;
      Random random = new Random(setup.seed());
      PlatformSoakStage stage = new PlatformSoakStage(vertx, clock, platform, daemons, endMillis);
      vertx.runOnContext(
          nothing -> {
            CallerStandIn caller = new CallerStandIn(vertx, LoopbackPlatform.ADDRESS);
            sendLater(vertx, caller, daemons, setup, new Random(random.nextLong()), endMillis);
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
    return report(platform);
  }

  private PlatformProcesses processes(
      Vertx vertx, PlatformStandIn platform, PlatformSoakSetup setup) throws FleetException {
    Endpoint store = new Endpoint(LoopbackPlatform.ADDRESS, platform.storePort());
    try {
      return new PlatformProcesses(vertx, factory, store, setup.daemons(), setup.retrySlack());
    } catch (IOException failure) {
      throw new FleetException("find free ports", failure);
    }
  }

  private void countArrivals(PlatformStandIn platform, PlatformSoakSetup setup) {
    for (String service : List.of(PlatformStandIn.ENGINES, PlatformStandIn.DESK)) {
      ArrivalLog log = new ArrivalLog(LoopbackPlatform.RETRY_RATIO, setup.retrySlack());
      arrivals.put(service, log);
      platform
          .servers(service)
          .forEach(
              server ->
                  server.onArrival(
                      (attempt, prefill, accepted) -> arrived(log, attempt, prefill, accepted)));
    }
  }

  private synchronized void arrived(
      ArrivalLog log, String attempt, boolean prefill, boolean accepted) {
    if (prefill) {
      log.prefillArrived(attempt, accepted, clock.millis());
    } else {
      log.runArrived(attempt, clock.millis());
    }
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

  private void sendLater(
      Vertx vertx,
      CallerStandIn caller,
      PlatformProcesses daemons,
      PlatformSoakSetup setup,
      Random random,
      long endMillis) {
    double perSecond = setup.streamsPerSecond() + setup.plainPerSecond();
    double pauseMillis = -Math.log(1 - random.nextDouble()) * MILLIS_PER_SECOND / perSecond;
    vertx.setTimer(
        Math.max(1, Math.round(pauseMillis)),
        fired -> {
          if (clock.millis() < endMillis) {
            boolean isStream = random.nextDouble() * perSecond < setup.streamsPerSecond();
            send(caller, daemons.callerEndpoints(), isStream, random);
            sendLater(vertx, caller, daemons, setup, random, endMillis);
          }
        });
  }

  private void send(
      CallerStandIn caller, List<Endpoint> endpoints, boolean isStream, Random random) {
    int draw = random.nextInt(HUNDRED);
    String path =
        isStream
            ? draw < RESUMABLE_SHARE ? PlatformStandIn.RESUMABLE : PlatformStandIn.STREAM
            : draw < REPEATABLE_SHARE ? PlatformStandIn.REPEATABLE : PlatformStandIn.ONCE;
    String service = isStream ? PlatformStandIn.ENGINES : PlatformStandIn.DESK;
    KindCount kind = kinds.computeIfAbsent(path, KindCount::new);
    String attempt = "soak-" + sequence++;
    kind.sent();
    synchronized (this) {
      arrivals.get(service).requested(clock.millis());
    }
    if (path.equals(PlatformStandIn.ONCE) || path.equals(PlatformStandIn.STREAM)) {
      once.add(attempt);
    }
    if (endpoints.isEmpty()) {
      kind.lost();
      return;
    }
    Endpoint to = endpoints.get(random.nextInt(endpoints.size()));
    Future<Answer> answer =
        caller.call(
            to.address(),
            to.port(),
            HttpMethod.POST,
            PlatformStandIn.HOST,
            path + attempt,
            Map.of(CallerStandIn.ATTEMPT, attempt));
    answer
        .timeout(CALLER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        .onSuccess(received -> answered(kind, attempt, received))
        .onFailure(failure -> kind.lost());
  }

  private void answered(KindCount kind, String attempt, Answer answer) {
    kind.answered(answer);
    if (answer.status() == NO_ROOM || answer.status() == NOT_NOW) {
      toldNotRun.add(attempt);
    }
  }

  private synchronized PlatformSoakReport report(PlatformStandIn platform) {
    Set<String> ran = new HashSet<>();
    List<String> ranTwice = new ArrayList<>();
    for (String attempt : platform.runs()) {
      if (!ran.add(attempt) && once.contains(attempt)) {
        ranTwice.add(attempt);
      }
    }
    Map<String, ArrivalLog.Window> worst = new TreeMap<>();
    arrivals.forEach((service, log) -> worst.put(service, log.worstWindow()));
    return new PlatformSoakReport(
        List.copyOf(kinds.values()),
        faults,
        worst,
        ranTwice,
        once.stream().filter(toldNotRun::contains).filter(ran::contains).toList());
  }
}
