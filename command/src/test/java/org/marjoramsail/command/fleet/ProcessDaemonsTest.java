package org.marjoramsail.command.fleet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntPredicate;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;

/** How processes of daemons are started. */
final class ProcessDaemonsTest {

  private static final Path DEPLOYMENT = Path.of("..", "deploy", "system.toml");
  private static final Pattern OPTION = Pattern.compile("(?<= )-X\\S+");
  private static final long PATIENCE_SECONDS = 60;
  private static final int ABSENT_STORE_PORT = 1;
  private static final int PORTS_OF_A_PROCESS = 3;
  private static final List<String> OF_THE_ARCHIVE = List.of("-XX:SharedArchiveFile=", "-Xshare:");

  /** Guards against runs of processes that differ from the deployed ones. */
  @Test
  void processesStartWithTheOptionsOfTheDeployment() throws Exception {
    String command =
        Files.readAllLines(DEPLOYMENT).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    List<String> deployed =
        OPTION
            .matcher(command)
            .results()
            .map(match -> match.group())
            .filter(option -> OF_THE_ARCHIVE.stream().noneMatch(option::startsWith))
            .toList();

    assertThat(ProcessDaemons.VIRTUAL_MACHINE_OPTIONS).containsExactlyElementsOf(deployed);
  }

  /**
   * Guards against processes that end by memory: relocating the class archive makes all of its
   * pages resident.
   */
  @Test
  void theClassArchiveIsNotRelocated() throws Exception {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(ProcessDaemons.VIRTUAL_MACHINE_OPTIONS);
    command.addAll(List.of("-Xshare:auto", "-Xlog:cds", "-version"));
    Process process = new ProcessBuilder(command).redirectErrorStream(true).start();
    String log = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);

    assertThat(process.waitFor()).as(log).isZero();
    assertThat(log)
        .contains("Mapped static  region #0")
        .doesNotContain("always map archive(s) at an alternative address");
  }

  /** Guards against runs that fail since another process took a port before it was bound. */
  @Test
  void aProcessWhosePortIsTakenMeanwhileIsStartedOnOtherPorts(@TempDir Path directory)
      throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ProcessDaemons processes =
            new ProcessDaemons(directory, portTakenAt(call -> call == 0, taken))) {
      FleetDaemon daemon =
          FleetRun.await("start", processes.start(settings("host-1")), PATIENCE_SECONDS);

      assertThat(daemon.callerPort()).isNotEqualTo(taken.getLocalPort());
      assertThat(processes.processes())
          .extracting(Process::pid)
          .containsExactly(daemon.process().orElseThrow());
    }
  }

  /** Guards against failed starts whose cause is lost with the directory of the run. */
  @Test
  void theFailureOfAProcessThatDoesNotListenQuotesItsLog(@TempDir Path directory) throws Exception {
    try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
        ProcessDaemons processes =
            new ProcessDaemons(
                directory, portTakenAt(call -> call % PORTS_OF_A_PROCESS == 0, taken))) {
      assertThatThrownBy(
              () -> FleetRun.await("start", processes.start(settings("host-1")), PATIENCE_SECONDS))
          .hasStackTraceContaining("has ended with code 4")
          .hasStackTraceContaining(":" + taken.getLocalPort());
    }
  }

  /** Returns a chooser of free ports that returns the taken one for some of its calls. */
  private static ProcessDaemons.PortChooser portTakenAt(IntPredicate calls, ServerSocket taken) {
    AtomicInteger call = new AtomicInteger();
    return address -> {
      if (calls.test(call.getAndIncrement())) {
        return taken.getLocalPort();
      }
      try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName(address))) {
        return free.getLocalPort();
      }
    };
  }

  private static Settings settings(String name) {
    return LoopbackPlatform.settings(
        name,
        ListenSettings.onFreePorts(LoopbackPlatform.ADDRESS),
        new Endpoint(LoopbackPlatform.ADDRESS, ABSENT_STORE_PORT),
        List.of(),
        1);
  }
}
