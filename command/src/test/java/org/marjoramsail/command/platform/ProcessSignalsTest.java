package org.marjoramsail.command.platform;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.command.fleet.FleetDaemon;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.ProcessDaemons;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.main.ExitCode;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.platform.standin.ServerStandIn;

/** Signals that come while a process starts, and in series while it serves callers. */
@Timeout(240)
final class ProcessSignalsTest {

  private static final ServerStandIn.Pace ENGINE_PACE = new ServerStandIn.Pace(30, 30, 90, 64);
  private static final ServerStandIn.Pace PLAIN_PACE = new ServerStandIn.Pace(1, 20, 0, 64);
  private static final long PATIENCE_SECONDS = 60;
  private static final int RELOADS = 60;
  private static final int CONNECT_MILLIS = 100;
  private static final int NOTHING_LOST = ExitCode.OK.code();

  private final Clock clock = new SystemClock();
  private final FixedPorts ports = new FixedPorts();
  private Vertx vertx;
  private PlatformStandIn platform;

  @BeforeEach
  void startPlatform() throws Exception {
    vertx = Vertx.vertx();
    platform =
        new PlatformStandIn(
            vertx,
            new ObjectMapper(),
            LoopbackPlatform.ADDRESS,
            new PlatformStandIn.Size(2, 3, 3, ENGINE_PACE, PLAIN_PACE));
    FleetRun.await("start", platform.start(), PATIENCE_SECONDS);
  }

  @AfterEach
  void closePlatform() throws Exception {
    FleetRun.await("close", vertx.close(), PATIENCE_SECONDS);
  }

  /** Guards against a signal to read the settings again that ends a process which starts. */
  @Test
  void aProcessThatIsToldOfNewSettingsWhileItStartsKeepsRunning(@TempDir Path directory)
      throws Exception {
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      Settings settings = settings("reload-at-start");
      Future<FleetDaemon> started = processes.start(settings);
      Process process = processes.processes().get(0);
      awaitListening(settings.listen().operator(), process);
      for (int reload = 0; reload < RELOADS; reload++) {
        reload(process);
      }
      FleetDaemon daemon = FleetRun.await("start", started, PATIENCE_SECONDS);

      assertThat(process.isAlive()).isTrue();
      FleetRun.await("stop", daemon.stop(), PATIENCE_SECONDS);
      assertThat(process.exitValue()).isEqualTo(NOTHING_LOST);
    }
  }

  /** Guards against a stop during the start that ends the process with what it has accepted. */
  @Test
  void aProcessThatIsToldToStopWhileItStartsStopsInOrder(@TempDir Path directory) throws Exception {
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      Settings settings = settings("stop-at-start");
      Future<FleetDaemon> unused = processes.start(settings);
      Process process = processes.processes().get(0);
      awaitListening(settings.listen().operator(), process);
      process.destroy();

      assertThat(process.onExit().get(PATIENCE_SECONDS, TimeUnit.SECONDS).exitValue())
          .isEqualTo(NOTHING_LOST);
    }
  }

  /** Guards against requests that end without a response when the settings are read again. */
  @Test
  void signalsToReadTheSettingsAgainCutOffNoCall(@TempDir Path directory) throws Exception {
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      FleetDaemon daemon =
          FleetRun.await("start", processes.start(settings("reloads")), PATIENCE_SECONDS);
      Endpoint endpoint = new Endpoint(LoopbackPlatform.ADDRESS, daemon.callerPort());
      BusyCallers callers = new BusyCallers(vertx, clock, endpoint, "reloads");
      vertx.runOnContext(nothing -> startCallers(callers));
      for (int reload = 0; reload < RELOADS; reload++) {
        reload(processes.processes().get(0));
        int answered = callers.answered();
        FleetRun.await(
            "load", Polling.until(vertx, () -> callers.answered() > answered), PATIENCE_SECONDS);
      }
      callers.end();
      FleetRun.await("last calls", Polling.until(vertx, callers::isIdle), PATIENCE_SECONDS);

      assertThat(callers.answered()).isGreaterThanOrEqualTo(RELOADS);
      assertThat(callers.unanswered()).isEmpty();
    }
  }

  private static void startCallers(BusyCallers callers) {
    callers.start(8, PlatformStandIn.ONCE);
    callers.start(8, PlatformStandIn.REPEATABLE);
    callers.start(4, PlatformStandIn.RESUMABLE);
  }

  private static void awaitListening(Endpoint endpoint, Process process) throws IOException {
    while (!isListening(endpoint)) {
      assertThat(process.isAlive()).isTrue();
    }
  }

  private static boolean isListening(Endpoint endpoint) throws IOException {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(endpoint.address(), endpoint.port()), CONNECT_MILLIS);
      return true;
    } catch (ConnectException | SocketTimeoutException notYet) {
      return false;
    }
  }

  private static void reload(Process process) throws Exception {
    new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).inheritIO().start().waitFor();
  }

  private Settings settings(String name) throws IOException {
    Endpoint free = new Endpoint(LoopbackPlatform.ADDRESS, 0);
    ListenSettings listen = new ListenSettings(free, ports.next(free.address()), free);
    return LoopbackPlatform.settings(
            name,
            listen,
            new Endpoint(LoopbackPlatform.ADDRESS, platform.storePort()),
            List.of(),
            1_000)
        .withLimits(LoopbackPlatform.PROCESS_LIMITS);
  }
}
