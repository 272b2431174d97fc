package org.marjoramsail.daemon.main;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.Properties;
import java.util.ServiceLoader;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.SettingsException;
import org.marjoramsail.daemon.settings.SettingsReader;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The program {@code marjoramsaild}. */
public final class MarjoramsailDaemon {

  private static final Logger LOGGER = LoggerFactory.getLogger(MarjoramsailDaemon.class);
  private static final String VERSION_RESOURCE =
      "/META-INF/maven/org.marjoramsail/marjoramsail-daemon/pom.properties";

  private final DaemonLauncher launcher;
  private final SettingsReader reader;
  private final SignalSource signals;
  private final Clock clock;
  private final PrintStream output;
  private final PrintStream errors;

  /** Calls back when the process is told to stop. */
  @FunctionalInterface
  public interface SignalSource {
    /** Has {@code handler} called for each signal that tells the process to stop. */
    void onStop(Runnable handler);

    /**
     * Has {@code handler} called for each signal that says that the settings have changed; a source
     * that knows no such signal never calls it.
     */
    default void onReload(Runnable handler) {}
  }

  /**
   * Creates an instance with all that the program uses.
   *
   * @param launcher starts the daemon
   * @param reader reads the settings
   * @param signals tells when to stop
   * @param clock measures how long a start delays a stop
   * @param output where what was asked for is printed
   * @param errors where faults are printed
   */
  public MarjoramsailDaemon(
      DaemonLauncher launcher,
      SettingsReader reader,
      SignalSource signals,
      Clock clock,
      PrintStream output,
      PrintStream errors) {
    this.launcher = launcher;
    this.reader = reader;
    this.signals = signals;
    this.clock = clock;
    this.output = output;
    this.errors = errors;
  }

  /** Runs the daemon with the launcher that the class path provides. */
  public static void main(String[] arguments) {
    DaemonLauncher launcher = MarjoramsailDaemon::launchAccepted;
    MarjoramsailDaemon daemon =
        new MarjoramsailDaemon(
            launcher,
            new SettingsReader(),
            new ProcessSignals(),
            MarjoramsailDaemon::monotonicMillis,
            System.out,
            System.err);
    ExitCode exitCode = daemon.run(arguments);
    LoggingSetup.close();
    System.out.flush();
    // Shutdown hooks of libraries could wait for the requests that a second signal gives up.
    Runtime.getRuntime().halt(exitCode.code());
  }

  /** Starts what the class path provides for such settings. */
  private static RunningDaemon launchAccepted(Settings settings) throws LaunchException {
    for (DaemonLauncher launcher : ServiceLoader.load(DaemonLauncher.class)) {
      if (launcher.accepts(settings)) {
        return launcher.launch(settings);
      }
    }
    throw new IllegalStateException("The class path has no daemon for such settings.");
  }

  /**
   * Runs until the daemon has stopped.
   *
   * @param arguments the command line
   * @return how the process ends
   */
  public ExitCode run(String... arguments) {
    if (isPlainStart(arguments)) {
      return withSettings(Path.of(arguments[1]), false);
    }
    return withCommandLine(new CommandLine(output, errors), arguments);
  }

  private ExitCode withCommandLine(CommandLine commandLine, String... arguments) {
    Optional<DaemonArguments> parsed = commandLine.parse(arguments);
    if (parsed.isEmpty()) {
      return ExitCode.USAGE;
    }
    if (parsed.get().isHelp()) {
      commandLine.printHelp();
      return ExitCode.OK;
    }
    if (parsed.get().isVersion()) {
      output.println("marjoramsaild " + version());
      return ExitCode.OK;
    }
    if (parsed.get().settings().isEmpty()) {
      commandLine.printUsage("--settings FILE is missing.", arguments);
      return ExitCode.USAGE;
    }
    return withSettings(Path.of(parsed.get().settings()), parsed.get().isCheck());
  }

  /** A start as the platform makes it, which needs no command-line parser to be loaded. */
  private static boolean isPlainStart(String... arguments) {
    return arguments.length == 2
        && arguments[0].equals("--settings")
        && !arguments[1].isEmpty()
        && !arguments[1].startsWith("-");
  }

  private ExitCode withSettings(Path file, boolean checkOnly) {
    if (!checkOnly) {
      return runUntilStopped(file);
    }
    try {
      reader.read(file);
    } catch (SettingsException failure) {
      return unusable(failure);
    }
    output.println(file + ": no fault found");
    return ExitCode.OK;
  }

  private ExitCode unusable(SettingsException failure) {
    errors.println(failure.getMessage());
    return ExitCode.SETTINGS;
  }

  /**
   * Runs the daemon. Signals are handled from the first moment: the virtual machine ends the
   * process at a signal without a handler, with the requests that a start has accepted.
   */
  private ExitCode runUntilStopped(Path file) {
    StopSequence sequence = new StopSequence(clock);
    SettingsReload reload = new SettingsReload(file, reader);
    signals.onStop(sequence::signalled);
    signals.onReload(reload::reload);
    Settings settings;
    try {
      settings = reader.read(file);
    } catch (SettingsException failure) {
      return unusable(failure);
    }
    LoggingSetup.apply(settings.logging());
    // A second signal ends the process at once, also while this thread starts the daemon.
    Thread launch = new Thread(() -> launch(settings, sequence, reload), "launch");
    launch.setDaemon(true);
    launch.start();
    return sequence.awaitEnd();
  }

  private void launch(Settings settings, StopSequence sequence, SettingsReload reload) {
    try {
      RunningDaemon running = launcher.launch(settings);
      LOGGER.atInfo().addKeyValue("host", settings.host().name()).log("daemon started");
      reload.started(running, settings);
      reload.watch();
      sequence.started(running);
    } catch (LaunchException failure) {
      LOGGER
          .atError()
          .addKeyValue("subject", failure.subject())
          .addKeyValue("failure", failure.failure())
          .setCause(failure)
          .log("daemon did not start");
      errors.println(failure.getMessage());
      sequence.endWith(failure.failure().exitCode());
    } catch (RuntimeException | Error failure) {
      sequence.startFailed(failure);
    }
  }

  private static long monotonicMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  private static String version() {
    try (InputStream stream = MarjoramsailDaemon.class.getResourceAsStream(VERSION_RESOURCE)) {
      if (stream == null) {
        return "(not packaged)";
      }
      Properties properties = new Properties();
      properties.load(stream);
      return properties.getProperty("version");
    } catch (IOException failure) {
      throw new UncheckedIOException("The program's own version cannot be read.", failure);
    }
  }
}
