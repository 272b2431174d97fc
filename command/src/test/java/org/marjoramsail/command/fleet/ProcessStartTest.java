package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.daemon.settings.Endpoint;
import org.marjoramsail.daemon.settings.ListenSettings;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.platform.assembly.LoopbackPlatform;

/** Signals to processes that have only just begun to listen. */
@Timeout(240)
final class ProcessStartTest {

  private static final int PROCESSES = 4;
  private static final long PATIENCE_SECONDS = 60;
  private static final long RELOAD_SECONDS = 20;
  private static final long POLL_MILLIS = 20;
  private static final int ABSENT_STORE_PORT = 1;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void closeVertx() throws Exception {
    FleetRun.await("close", vertx.close(), PATIENCE_SECONDS);
  }

  /** Guards against a signal for new settings that ends a process which takes callers already. */
  @Test
  void aProcessThatIsToldToReloadAsSoonAsItListensReadsItsSettings(@TempDir Path directory)
      throws Exception {
    try (ProcessDaemons processes = new ProcessDaemons(directory)) {
      for (int number = 1; number <= PROCESSES; number++) {
        Settings settings = settings("host-" + number);
        FleetDaemon daemon = FleetRun.await("start", processes.start(settings), PATIENCE_SECONDS);
        daemon.reload(settings);

        FleetRun.await("reload", whenReloaded(directory), RELOAD_SECONDS);
        FleetRun.await("kill", daemon.kill(), PATIENCE_SECONDS);
        removeLogs(directory);
      }
    }
  }

  private Future<Void> whenReloaded(Path directory) {
    return hasReloaded(directory)
        ? Future.succeededFuture()
        : vertx.timer(POLL_MILLIS).compose(waited -> whenReloaded(directory));
  }

  private static boolean hasReloaded(Path directory) {
    return logs(directory).stream().anyMatch(ProcessStartTest::namesAReload);
  }

  private static boolean namesAReload(Path log) {
    try {
      return Files.readString(log).contains("settings are read again");
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private static void removeLogs(Path directory) throws IOException {
    for (Path log : logs(directory)) {
      Files.delete(log);
    }
  }

  private static List<Path> logs(Path directory) {
    try (Stream<Path> files = Files.list(directory)) {
      return files.filter(file -> file.toString().endsWith(".log")).toList();
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
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
