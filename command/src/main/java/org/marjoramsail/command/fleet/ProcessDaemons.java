package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.daemon.main.ExitCode;
import org.marjoramsail.daemon.main.MarjoramsailDaemon;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;

/**
 * Starts each daemon as a process of its own, so that the system's own signals end and pause it.
 */
public final class ProcessDaemons implements FleetDaemonFactory, AutoCloseable {

  /** Those of the deployment, without its archive of classes. */
  static final List<String> VIRTUAL_MACHINE_OPTIONS =
      List.of(
          "-Xms8m",
          "-Xmx112m",
          "-Xss256k",
          "-XX:+IgnoreUnrecognizedVMOptions",
          "-XX:+UseSerialGC",
          "-XX:+UseCompactObjectHeaders",
          "-XX:TieredStopAtLevel=1",
          "-XX:-UsePerfData",
          "-XX:+ErrorFileToStdout",
          "-XX:+UnlockDiagnosticVMOptions",
          "-XX:ArchiveRelocationMode=0");

  private static final long POLL_MILLIS = 100;
  private static final int MOST_POLLS = 600;
  private static final int CONNECT_MILLIS = 100;
  private static final int MOST_STARTS = 5;
  private static final int LOG_LINES = 20;

  private final Executor later =
      CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);
  private final Queue<Process> processes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger starts = new AtomicInteger();
  private final Path directory;
  private final PortChooser ports;

  /** Chooses the ports that settings leave open. */
  @FunctionalInterface
  interface PortChooser {

    /** Returns a port of an address on which nothing listened at the time of the call. */
    int choose(String address) throws IOException;
  }

  /**
   * Creates an instance with where settings and logs of the processes are written.
   *
   * @param directory an existing directory
   */
  public ProcessDaemons(Path directory) {
    this(directory, ProcessDaemons::freePort);
  }

  ProcessDaemons(Path directory, PortChooser ports) {
    this.directory = directory;
    this.ports = ports;
  }

  /**
   * Starts a process. Another process may take a free port before this one listens on it; it is
   * then started again on other ports.
   *
   * @return fails with an {@link IOException} that quotes the end of the log of the process
   */
  @Override
  public Future<FleetDaemon> start(Settings settings) {
    return start(settings, MOST_STARTS);
  }

  private Future<FleetDaemon> start(Settings settings, int startsLeft) {
    try {
      ListenSettings listen = withPorts(settings.listen());
      String name = settings.host().name() + "-" + starts.incrementAndGet();
      SettingsFile file = new SettingsFile(directory.resolve(name + ".json"));
      file.write(settings.withListen(listen));
      Path log = directory.resolve(name + ".log");
      Process process = launch(file.path(), log);
      processes.add(process);
      boolean mayRestart = startsLeft > 1 && !listen.equals(settings.listen());
      return Future.fromCompletionStage(listening(process, log, listen, MOST_POLLS))
          .<FleetDaemon>map(nothing -> new ProcessFleetDaemon(process, listen, file))
          .recover(
              failure ->
                  mayRestart && hasEndedForAnAddress(process)
                      ? startAgain(process, settings, startsLeft - 1)
                      : Future.failedFuture(failure));
    } catch (IOException failure) {
      return Future.failedFuture(failure);
    }
  }

  private Future<FleetDaemon> startAgain(Process failed, Settings settings, int startsLeft) {
    processes.remove(failed);
    return start(settings, startsLeft);
  }

  private static boolean hasEndedForAnAddress(Process process) {
    return !process.isAlive() && process.exitValue() == ExitCode.UNAVAILABLE.code();
  }

  /** Returns the directory with a log of each process, {@code HOST-NUMBER.log}. */
  public Path directory() {
    return directory;
  }

  /** Returns the processes that were started, in the order of their start. */
  public List<Process> processes() {
    return List.copyOf(processes);
  }

  /** Ends every process that was started here and still runs. */
  @Override
  public void close() {
    processes.forEach(Process::destroyForcibly);
  }

  private static Process launch(Path settings, Path log) throws IOException {
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(VIRTUAL_MACHINE_OPTIONS);
    command.addAll(
        List.of(
            "-cp",
            System.getProperty("java.class.path"),
            MarjoramsailDaemon.class.getName(),
            "--settings",
            settings.toString()));
    return new ProcessBuilder(command)
        .redirectErrorStream(true)
        .redirectOutput(log.toFile())
        .start();
  }

  private CompletableFuture<Void> listening(
      Process process, Path log, ListenSettings listen, int polls) {
    if (!process.isAlive() || polls == 0) {
      String state = process.isAlive() ? "runs" : "has ended with code " + process.exitValue();
      process.destroyForcibly();
      return CompletableFuture.failedFuture(
          new IOException(
              "Process " + process.pid() + " does not listen and " + state + ": " + endOf(log)));
    }
    if (isListening(listen.caller()) && isListening(listen.peer())) {
      return CompletableFuture.completedFuture(null);
    }
    return CompletableFuture.runAsync(() -> {}, later)
        .thenCompose(nothing -> listening(process, log, listen, polls - 1));
  }

  /** Returns the last lines of a log, without the frames of stack traces. */
  private static String endOf(Path log) {
    try {
      List<String> lines =
          Files.readAllLines(log).stream().filter(line -> !line.startsWith("\t")).toList();
      return String.join("\n", lines.subList(Math.max(0, lines.size() - LOG_LINES), lines.size()));
    } catch (IOException failure) {
      return log + " could not be read: " + failure;
    }
  }

  private static boolean isListening(Endpoint endpoint) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(endpoint.address(), endpoint.port()), CONNECT_MILLIS);
      return true;
    } catch (IOException notYet) {
      return false;
    }
  }

  private ListenSettings withPorts(ListenSettings listen) throws IOException {
    return new ListenSettings(
        withPort(listen.caller()), withPort(listen.operator()), withPort(listen.peer()));
  }

  /** Its process must be told a port, since a chosen one could not be learned from outside. */
  private Endpoint withPort(Endpoint endpoint) throws IOException {
    return endpoint.port() == 0
        ? new Endpoint(endpoint.address(), ports.choose(endpoint.address()))
        : endpoint;
  }

  private static int freePort(String address) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(address))) {
      return socket.getLocalPort();
    }
  }

  /** A directory of its own for one run. */
  public static Path newDirectory() throws IOException {
    return Files.createTempDirectory("marjoramsail-processes-");
  }
}
