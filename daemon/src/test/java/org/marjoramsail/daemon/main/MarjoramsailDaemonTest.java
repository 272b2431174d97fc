package org.marjoramsail.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.core.time.ManualClock;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.SettingsReader;

@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class MarjoramsailDaemonTest {

  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final String GOOD = EXAMPLES.resolve("cabildo-abierto/entry-1.json").toString();

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final List<Settings> launched = new ArrayList<>();
  private final FakeDaemon running = new FakeDaemon();
  private final FakeSignals signals = new FakeSignals();
  private final ManualClock clock = new ManualClock(0);

  @TempDir private Path directory;

  @Test
  void helpNamesEachOptionAndEachExitCode() {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);

    assertThat(text(output)).contains("--settings", "--check", "--version");
    for (ExitCode exitCode : ExitCode.values()) {
      assertThat(text(output)).contains(exitCode.code() + "  " + exitCode.meaning());
    }
  }

  @Test
  void aMistypedOptionIsAUsageFaultWithASuggestion() {
    assertThat(run("--setings", GOOD)).isEqualTo(ExitCode.USAGE);

    assertThat(text(errors)).contains("--setings: did you mean --settings?");
  }

  @Test
  void noSettingsIsAUsageFault() {
    assertThat(run()).isEqualTo(ExitCode.USAGE);

    assertThat(text(errors)).contains("--settings FILE is missing.");
  }

  @Test
  void anEmptyPathOfSettingsIsTheSameUsageFault() {
    assertThat(run("--settings", "")).isEqualTo(ExitCode.USAGE);

    assertThat(text(errors)).contains("--settings FILE is missing.");
  }

  @Test
  void versionIsPrinted() {
    assertThat(run("--version")).isEqualTo(ExitCode.OK);

    assertThat(text(output)).startsWith("marjoramsaild ");
  }

  @Test
  void checkStartsNothing() {
    assertThat(run("--check", "--settings", GOOD)).isEqualTo(ExitCode.OK);

    assertThat(launched).isEmpty();
    assertThat(text(output)).contains("no fault found");
  }

  @Test
  void badSettingsEndTheProgramWithEachFaultPrinted() throws Exception {
    Path file = Files.writeString(directory.resolve("bad.json"), "{\"hots\": 1}");

    assertThat(run("--settings", file.toString())).isEqualTo(ExitCode.SETTINGS);

    assertThat(launched).isEmpty();
    assertThat(text(errors)).contains("/hots", "did you mean host?", "/platform");
  }

  @Test
  void anAddressThatIsTakenHasAnExitCodeOfItsOwn() {
    DaemonLauncher launcher =
        settings -> {
          throw new LaunchException(
              LaunchException.Failure.ADDRESS, "127.0.0.1:80", "is taken", null);
        };
    MarjoramsailDaemon daemon = daemon(launcher, handler -> {});

    assertThat(daemon.run("--settings", GOOD)).isEqualTo(ExitCode.UNAVAILABLE);
    assertThat(text(errors)).contains("127.0.0.1:80: is taken");
  }

  @Test
  void theFirstSignalStopsWithoutLoss() {
    running.endsByItself = true;

    ExitCode exitCode = daemon(this::launch, Runnable::run).run("--settings", GOOD);

    assertThat(exitCode).isEqualTo(ExitCode.OK);
    assertThat(running.stops).isEqualTo(1);
  }

  /** Guards against a stop that cuts off requests and looks like one that lost nothing. */
  @Test
  void aStopThatCutsOffRequestsHasAnExitCodeOfItsOwn() {
    running.endsByItself = true;
    running.cutOff = new UnfinishedWork(3, 2, 1, 0);

    ExitCode exitCode = daemon(this::launch, Runnable::run).run("--settings", GOOD);

    assertThat(exitCode).isEqualTo(ExitCode.STOPPED_LATE);
  }

  @Test
  void aSecondSignalStopsAtOnceThoughRequestsStillRun() {
    // An operator stops a daemon while a summary runs and then presses Ctrl-C again.
    // The stop waits for the summary; the second signal must not wait behind the first one.
    // Shown by an exit code of its own, so that nobody takes this for a stop without loss.
    running.whenStopping = signals::stop;

    ExitCode exitCode = daemon(this::launchAndStop, signals).run("--settings", GOOD);

    assertThat(exitCode).isEqualTo(ExitCode.STOPPED_AT_ONCE);
    assertThat(running.stops).isEqualTo(1);
  }

  @Test
  void aStopThatFailsIsNotReportedAsOne() {
    MarjoramsailDaemon.SignalSource once =
        handler -> {
          handler.run();
          running.end.completeExceptionally(new IllegalStateException("a request did not end"));
        };

    assertThat(daemon(this::launch, once).run("--settings", GOOD)).isEqualTo(ExitCode.FAILURE);
  }

  /** Guards against a signal during the start that ends the process with what it has accepted. */
  @Test
  void aStopDuringTheLaunchIsDoneOnceTheDaemonRuns() {
    running.endsByItself = true;

    ExitCode exitCode = daemon(this::launchAndStop, signals).run("--settings", GOOD);

    assertThat(exitCode).isEqualTo(ExitCode.OK);
    assertThat(running.stops).isEqualTo(1);
  }

  /** Guards against a stop that lasts beyond the grace of the platform, which kills the process. */
  @Test
  void theTimeOfTheLaunchAfterASignalCountsTowardTheStop() {
    running.endsByItself = true;
    DaemonLauncher launcher =
        settings -> {
          signals.stop();
          clock.advance(2_000);
          return running;
        };

    daemon(launcher, signals).run("--settings", GOOD);

    assertThat(running.elapsedMillis).isEqualTo(2_000);
  }

  /** Guards against a launch that keeps a second signal from ending the process. */
  @Test
  void aSecondSignalDuringTheLaunchStopsAtOnce() {
    CompletableFuture<RunningDaemon> launched = new CompletableFuture<>();
    DaemonLauncher launcher =
        settings -> {
          signals.stop();
          signals.stop();
          return launched.join();
        };

    assertThat(daemon(launcher, signals).run("--settings", GOOD))
        .isEqualTo(ExitCode.STOPPED_AT_ONCE);
    launched.complete(running);
  }

  /** Guards against new settings that are lost since their signal came during the start. */
  @Test
  void aReloadDuringTheLaunchIsDoneOnceTheDaemonRuns() throws Exception {
    Path file = directory.resolve("settings.json");
    Files.copy(Path.of(GOOD), file);
    String changed = Files.readString(file).replaceFirst("\"entry-1\"", "\"entry-2\"");
    running.endsByItself = true;
    DaemonLauncher launcher =
        settings -> {
          write(file, changed);
          signals.reload();
          signals.stop();
          return running;
        };

    daemon(launcher, signals).run("--settings", file.toString());

    assertThat(running.reloaded)
        .singleElement()
        .satisfies(newer -> assertThat(newer.host().name()).isEqualTo("entry-2"));
  }

  private static void write(Path file, String text) {
    try {
      Files.writeString(file, text);
    } catch (IOException failure) {
      throw new UncheckedIOException(failure);
    }
  }

  private ExitCode run(String... arguments) {
    return daemon(this::launch, handler -> {}).run(arguments);
  }

  private RunningDaemon launch(Settings settings) {
    launched.add(settings);
    return running;
  }

  private RunningDaemon launchAndStop(Settings settings) {
    signals.stop();
    return launch(settings);
  }

  private MarjoramsailDaemon daemon(
      DaemonLauncher launcher, MarjoramsailDaemon.SignalSource signals) {
    return new MarjoramsailDaemon(
        launcher,
        new SettingsReader(),
        signals,
        clock,
        new PrintStream(output, true, StandardCharsets.UTF_8),
        new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }

  /** Signals that a test sends; one without a handler is lost. */
  private static final class FakeSignals implements MarjoramsailDaemon.SignalSource {
    private Runnable stopHandler = () -> {};
    private Runnable reloadHandler = () -> {};

    @Override
    public void onStop(Runnable handler) {
      stopHandler = handler;
    }

    @Override
    public void onReload(Runnable handler) {
      reloadHandler = handler;
    }

    void stop() {
      stopHandler.run();
    }

    void reload() {
      reloadHandler.run();
    }
  }

  private static final class FakeDaemon implements RunningDaemon {
    private final CompletableFuture<UnfinishedWork> end = new CompletableFuture<>();
    private UnfinishedWork cutOff = new UnfinishedWork(0, 0, 0, 0);
    private final List<Settings> reloaded = new ArrayList<>();
    private Runnable whenStopping = () -> {};
    private boolean endsByItself;
    private int stops;
    private long elapsedMillis;

    @Override
    public CompletionStage<UnfinishedWork> stop(long elapsedMillis, Consumer<StopPhase> listener) {
      stops++;
      this.elapsedMillis = elapsedMillis;
      listener.accept(StopPhase.DRAINING);
      whenStopping.run();
      if (endsByItself) {
        end.complete(cutOff);
      }
      return end;
    }

    @Override
    public void reload(Settings newer) {
      reloaded.add(newer);
    }

    @Override
    public UnfinishedWork unfinished() {
      return new UnfinishedWork(1, 0, 0, 2);
    }
  }
}
