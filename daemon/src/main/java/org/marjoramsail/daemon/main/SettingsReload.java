package org.marjoramsail.daemon.main;

import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.SettingsException;
import org.marjoramsail.daemon.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Reads the settings again when a signal says so, and now and then in case none did. A file with a
 * fault changes nothing: the daemon goes on with what it had.
 */
final class SettingsReload {

  private static final Logger LOGGER = LoggerFactory.getLogger(SettingsReload.class);

  /** How often a file is looked at that changed without a signal, in milliseconds. */
  private static final long LOOK_MILLIS = 10_000;

  private final Path file;
  private final SettingsReader reader;
  private Optional<InForce> inForce = Optional.empty();
  private boolean isAskedFor;

  /** The daemon and the settings that it has. */
  private record InForce(RunningDaemon daemon, Settings settings) {}

  SettingsReload(Path file, SettingsReader reader) {
    this.file = file;
    this.reader = reader;
  }

  /** Takes the daemon, and reads the settings if a signal said so while it was started. */
  synchronized void started(RunningDaemon daemon, Settings settings) {
    inForce = Optional.of(new InForce(daemon, settings));
    if (isAskedFor) {
      look();
    }
  }

  /** Looks at the file from time to time, on a thread that does not keep the process alive. */
  void watch() {
    ScheduledExecutorService looks =
        Executors.newSingleThreadScheduledExecutor(
            task -> {
              Thread thread = new Thread(task, "settings");
              thread.setDaemon(true);
              return thread;
            });
    ScheduledFuture<?> unused =
        looks.scheduleWithFixedDelay(this::look, LOOK_MILLIS, LOOK_MILLIS, TimeUnit.MILLISECONDS);
  }

  /** Handles what the file says now, or once the daemon runs. */
  synchronized void reload() {
    LOGGER.atInfo().addKeyValue("file", file).log("settings are read again");
    isAskedFor = true;
    look();
  }

  private synchronized void look() {
    inForce.ifPresent(this::compare);
  }

  private void compare(InForce before) {
    try {
      Settings newer = reader.read(file);
      if (!newer.equals(before.settings())) {
        inForce = Optional.of(new InForce(before.daemon(), newer));
        LOGGER.atInfo().addKeyValue("file", file).log("settings have changed");
        before.daemon().reload(newer);
      }
    } catch (SettingsException fault) {
      LOGGER
          .atError()
          .addKeyValue("fault", fault.getMessage())
          .log("settings have a fault; those from before stay in force");
    }
  }
}
