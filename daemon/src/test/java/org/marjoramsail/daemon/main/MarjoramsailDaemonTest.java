package org.marjoramsail.daemon.main;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.daemon.settings.Settings;
import org.marjoramsail.daemon.settings.SettingsReader;

class MarjoramsailDaemonTest {

  private static final Path EXAMPLES = Path.of("..", "examples");
  private static final String GOOD = EXAMPLES.resolve("cabildo-abierto/entry-1.json").toString();

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final List<Settings> launched = new ArrayList<>();
  private final FakeDaemon running = new FakeDaemon();

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
    MarjoramsailDaemon.SignalSource twice =
        handler -> {
          handler.run();
          handler.run();
        };

    ExitCode exitCode = daemon(this::launch, twice).run("--settings", GOOD);

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

  private ExitCode run(String... arguments) {
    return daemon(this::launch, handler -> {}).run(arguments);
  }

  private RunningDaemon launch(Settings settings) {
    launched.add(settings);
    return running;
  }

  private MarjoramsailDaemon daemon(
      DaemonLauncher launcher, MarjoramsailDaemon.SignalSource signals) {
    return new MarjoramsailDaemon(
        launcher,
        new SettingsReader(),
        signals,
        new PrintStream(output, true, StandardCharsets.UTF_8),
        new PrintStream(errors, true, StandardCharsets.UTF_8));
  }

  private static String text(ByteArrayOutputStream stream) {
    return stream.toString(StandardCharsets.UTF_8);
  }

  private static final class FakeDaemon implements RunningDaemon {
    private final CompletableFuture<UnfinishedWork> end = new CompletableFuture<>();
    private UnfinishedWork cutOff = new UnfinishedWork(0, 0, 0, 0);
    private boolean endsByItself;
    private int stops;

    @Override
    public CompletionStage<UnfinishedWork> stop(Consumer<StopPhase> listener) {
      stops++;
      listener.accept(StopPhase.DRAINING);
      if (endsByItself) {
        end.complete(cutOff);
      }
      return end;
    }

    @Override
    public UnfinishedWork unfinished() {
      return new UnfinishedWork(1, 0, 0, 2);
    }
  }
}
