package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;

/** Ends of processes whose callers keep their connections busy until the process has ended. */
@Timeout(240)
final class ProcessEndTest {

  private static final ServerStandIn.Pace ENGINE_PACE = new ServerStandIn.Pace(30, 30, 90, 64);
  private static final ServerStandIn.Pace PLAIN_PACE = new ServerStandIn.Pace(1, 20, 0, 64);

  /** A stopping daemon accepts calls for 3 s, and breaks off those that still run after 7 s. */
  private static final long LONG_CALL_MILLIS = 5_000;

  private static final int LONG_CALLERS = 8;

  /** Delay of the later half of the callers. */
  private static final long LATER_START_MILLIS = 2_400;

  private static final ServerStandIn.Pace LONG_PACE =
      new ServerStandIn.Pace(1, LONG_CALL_MILLIS, 0, LONG_CALLERS);

  private static final long PATIENCE_SECONDS = 60;

  /** Calls after which the daemon serves its callers as fast as it will. */
  private static final int CALLS_BEFORE_STOP = 200;

  private static final int STOPS = 4;

  /** Exit code of a process whose stop has cut calls off. */
  private static final int STOPPED_LATE = 6;

  /** Time after the signal from which no server responds: before requests are refused. */
  private static final long SERVERS_MUTE_MILLIS = 2_300;

  /** Time after the signal at which the process stands still: shortly before its limit. */
  private static final long PAUSE_FROM_MILLIS = 6_300;

  /** Duration of that standstill, which ends after the time for the refusals. */
  private static final long PAUSE_MILLIS = 1_200;

  private final Clock clock = new SystemClock();
  private final Vertx vertx = Vertx.vertx();
  private PlatformStandIn platform;

  private void startPlatform(int plainServers, ServerStandIn.Pace plainPace) throws Exception {
    platform =
        new PlatformStandIn(
            vertx,
            new ObjectMapper(),
            LoopbackPlatform.ADDRESS,
            new PlatformStandIn.Size(2, 3, plainServers, ENGINE_PACE, plainPace));
    FleetRun.await("start", platform.start(), PATIENCE_SECONDS);
  }

  @AfterEach
  void closePlatform() throws Exception {
    FleetRun.await("close", vertx.close(), PATIENCE_SECONDS);
  }

  /** Guards against an end of the process that resets calls which it has not answered yet. */
  @Test
  void aProcessThatIsToldToStopAnswersAllCallsOnItsConnections(@TempDir Path directory)
      throws Exception {
    startPlatform(3, PLAIN_PACE);
    List<BusyCallers.Unanswered> unanswered = new ArrayList<>();
    List<String> refused = new ArrayList<>();
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      for (int stop = 0; stop < STOPS; stop++) {
        BusyCallers callers = stopUnderLoad(processes, "stop-" + stop);
        refused.addAll(callers.refused());
        unanswered.addAll(callers.unanswered());
      }
      assertThat(processes.processes()).extracting(Process::exitValue).containsOnly(0);
    }

    assertThat(unanswered).isEmpty();
    assertThat(refused).isEmpty();
  }

  /**
   * Guards against an event loop that reaches the limit of a stop late, after the time in which the
   * refusals of what still runs are written: the end of the process reset these calls.
   */
  @Test
  void aProcessThatReachesTheLimitOfItsStopLateRefusesWhatStillRuns(@TempDir Path directory)
      throws Exception {
    startPlatform(3, PLAIN_PACE);
    BusyCallers callers;
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      FleetDaemon daemon =
          FleetRun.await("start", processes.start(settings("late")), PATIENCE_SECONDS);
      callers = startLoad(daemon, "late", ProcessEndTest::startCallers, CALLS_BEFORE_STOP);
      vertx.setTimer(SERVERS_MUTE_MILLIS, fired -> muteServers());
      vertx.setTimer(PAUSE_FROM_MILLIS, fired -> daemon.pause(PAUSE_MILLIS));
      FleetRun.await("stop", daemon.stop(), PATIENCE_SECONDS);
      FleetRun.await("last calls", Polling.until(vertx, callers::isIdle), PATIENCE_SECONDS);
      assertThat(processes.processes().get(0).exitValue())
          .as(Files.readString(directory.resolve("late-1.log")))
          .isEqualTo(STOPPED_LATE);
    }

    assertThat(callers.unanswered())
        .extracting(BusyCallers.Unanswered::cause)
        .isNotEmpty()
        .allMatch(cause -> cause.startsWith("status 50"));
  }

  /** Guards against long calls that are begun late in a stop and broken off at its limit. */
  @Test
  void aProcessThatIsToldToStopEndsOrRefusesLongCalls(@TempDir Path directory) throws Exception {
    startPlatform(2, LONG_PACE);
    platform.configure(PlatformStandIn.FIRST_ROUTE, 2 * LONG_CALL_MILLIS);
    BusyCallers callers;
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      FleetDaemon daemon =
          FleetRun.await("start", processes.start(settings("long")), PATIENCE_SECONDS);
      callers = startLoad(daemon, "long", this::startLongCalls, LONG_CALLERS);
      FleetRun.await("stop", daemon.stop(), PATIENCE_SECONDS);
      FleetRun.await("last calls", Polling.until(vertx, callers::isIdle), PATIENCE_SECONDS);
      assertThat(processes.processes().get(0).exitValue())
          .as(Files.readString(directory.resolve("long-1.log")))
          .isZero();
    }

    assertThat(callers.unanswered()).isEmpty();
    assertThat(callers.refused()).isNotEmpty();
    assertThat(platform.runs()).doesNotContainAnyElementsOf(callers.refused());
  }

  /**
   * Starts half of the callers later. The stop begins when all first calls have ended; the earlier
   * callers send their third calls 2.6 s after that, which the daemon still accepts but cannot end.
   */
  private void startLongCalls(BusyCallers callers) {
    callers.start(LONG_CALLERS / 2, PlatformStandIn.ONCE);
    vertx.setTimer(
        LATER_START_MILLIS, fired -> callers.start(LONG_CALLERS / 2, PlatformStandIn.ONCE));
  }

  private void muteServers() {
    for (String service : List.of(PlatformStandIn.ENGINES, PlatformStandIn.DESK)) {
      platform
          .listed(service)
          .forEach(server -> platform.server(server).mood(ServerStandIn.Mood.MUTE));
    }
  }

  private BusyCallers stopUnderLoad(ProcessDaemons processes, String name) throws Exception {
    FleetDaemon daemon = FleetRun.await("start", processes.start(settings(name)), PATIENCE_SECONDS);
    BusyCallers callers = startLoad(daemon, name, ProcessEndTest::startCallers, CALLS_BEFORE_STOP);
    FleetRun.await("stop", daemon.stop(), PATIENCE_SECONDS);
    FleetRun.await("last calls", Polling.until(vertx, callers::isIdle), PATIENCE_SECONDS);
    return callers;
  }

  private BusyCallers startLoad(
      FleetDaemon daemon, String name, Consumer<BusyCallers> load, int callsBeforeStop)
      throws Exception {
    Endpoint endpoint = new Endpoint(LoopbackPlatform.ADDRESS, daemon.callerPort());
    awaitRoutes(endpoint);
    BusyCallers callers = new BusyCallers(vertx, clock, endpoint, name);
    vertx.runOnContext(nothing -> load.accept(callers));
    FleetRun.await(
        "load",
        Polling.until(vertx, () -> callers.answered() >= callsBeforeStop),
        PATIENCE_SECONDS);
    return callers;
  }

  /**
   * Waits until the daemon serves a call: it listens before it has routes, and refuses until then.
   */
  private void awaitRoutes(Endpoint daemon) throws Exception {
    BusyCallers callers = new BusyCallers(vertx, clock, daemon, "first");
    vertx.runOnContext(nothing -> callers.start(1, PlatformStandIn.REPEATABLE));
    FleetRun.await("routes", Polling.until(vertx, () -> callers.answered() > 0), PATIENCE_SECONDS);
    callers.end();
  }

  private static void startCallers(BusyCallers callers) {
    callers.start(8, PlatformStandIn.ONCE);
    callers.start(8, PlatformStandIn.REPEATABLE);
    callers.start(4, PlatformStandIn.RESUMABLE);
  }

  private Settings settings(String name) {
    return LoopbackPlatform.settings(
            name,
            ListenSettings.onFreePorts(LoopbackPlatform.ADDRESS),
            new Endpoint(LoopbackPlatform.ADDRESS, platform.storePort()),
            List.of(),
            1_000)
        .withLimits(LoopbackPlatform.PROCESS_LIMITS);
  }
}
