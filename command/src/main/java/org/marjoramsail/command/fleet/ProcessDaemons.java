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
          "-XX:+ErrorFileToStdout");

  private static final long POLL_MILLIS = 100;
  private static final int MOST_POLLS = 600;
  private static final int CONNECT_MILLIS = 100;

  private final Executor later =
      CompletableFuture.delayedExecutor(POLL_MILLIS, TimeUnit.MILLISECONDS);
  private final Queue<Process> processes = new ConcurrentLinkedQueue<>();
  private final AtomicInteger starts = new AtomicInteger();
  private final Path directory;

  /**
   * Creates an instance with where settings and logs of the processes are written.
   *
   * @param directory an existing directory
   */
  public ProcessDaemons(Path directory) {
    this.directory = directory;
  }

  @Override
  public Future<FleetDaemon> start(Settings settings) {
    try {
      ListenSettings listen = withPorts(settings.listen());
      String name = settings.host().name() + "-" + starts.incrementAndGet();
      SettingsFile file = new SettingsFile(directory.resolve(name + ".json"));
      file.write(settings.withListen(listen));
      Process process = launch(file.path(), directory.resolve(name + ".log"));
      processes.add(process);
      return Future.fromCompletionStage(listening(process, listen, MOST_POLLS))
          .map(nothing -> new ProcessFleetDaemon(process, listen, file));
    } catch (IOException failure) {
      return Future.failedFuture(failure);
    }
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

  private CompletableFuture<Void> listening(Process process, ListenSettings listen, int polls) {
    if (isListening(listen.caller()) && isListening(listen.peer())) {
      return CompletableFuture.completedFuture(null);
    }
    if (!process.isAlive() || polls == 0) {
      process.destroyForcibly();
      return CompletableFuture.failedFuture(
          new IOException("Process " + process.pid() + " does not listen; see " + directory));
    }
    return CompletableFuture.runAsync(() -> {}, later)
        .thenCompose(nothing -> listening(process, listen, polls - 1));
  }

  private static boolean isListening(Endpoint endpoint) {
    try (Socket socket = new Socket()) {
      socket.connect(new InetSocketAddress(endpoint.address(), endpoint.port()), CONNECT_MILLIS);
      return true;
    } catch (IOException notYet) {
      return false;
    }
  }

  private static ListenSettings withPorts(ListenSettings listen) throws IOException {
    return new ListenSettings(
        withPort(listen.caller()), withPort(listen.operator()), withPort(listen.peer()));
  }

  /** Its process must be told a port, since a chosen one could not be learned from outside. */
  private static Endpoint withPort(Endpoint endpoint) throws IOException {
    if (endpoint.port() != 0) {
      return endpoint;
    }
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(endpoint.address()))) {
      return new Endpoint(endpoint.address(), socket.getLocalPort());
    }
  }

  /** A directory of its own for one run. */
  public static Path newDirectory() throws IOException {
    return Files.createTempDirectory("marjoramsail-processes-");
  }
}
