package org.marjoramsail.command;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.marjoramsail.command.fleet.FleetDaemonFactory;

final class FleetCommandsTest {

  private final Vertx vertx = Vertx.vertx();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @AfterEach
  void closeVertx() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(20, TimeUnit.SECONDS);
  }

  @Test
  void aDemoWhoseAnswersAreAllRightEndsWellAndReportsEveryKind() {
    assertThat(run(false, "demo --deployment rosario --seconds 1 --load 0.3 --daemons 2"))
        .as(errors.toString(StandardCharsets.UTF_8))
        .isEqualTo(ExitCode.OK);
    assertThat(printed())
        .contains("All invariants held.", "hearing-date", "wasted prefill", "goodput");
  }

  @Test
  void aDemoWithCutAnswersThatAreSaidToBeWholeEndsAsBroken() {
    assertThat(run(true, "demo --deployment rosario --seconds 1 --load 0.3 --daemons 1"))
        .isEqualTo(ExitCode.BROKEN_INVARIANT);
    assertThat(printed()).contains("BROKEN every-answer-right", "said to be whole");
  }

  @Test
  void aSoakOfADaemonThatAnswersTooLittleEndsAsBrokenAndNamesTheRequests() {
    assertThat(run(true, "soak --deployment rosario --seconds 1 --load 0.3 --faults none"))
        .isEqualTo(ExitCode.BROKEN_INVARIANT);
    assertThat(printed()).contains("BROKEN every-answer-right", "wrong filing-summary", "BROKEN.");
  }

  @Test
  void aSoakWithAnUnknownFaultSaysWhichOneIsMeant() {
    assertThat(run(false, "soak --faults daemon-kil")).isEqualTo(ExitCode.USAGE);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains("daemon-kill");
  }

  @Test
  void aBenchPrintsJson() {
    run(false, "bench --deployment cabildo-abierto --seconds 1 --load 0.2 --format json");

    assertThat(printed()).contains("\"goodputPerSecond\"", "\"wastedPrefillShare\"");
  }

  @Test
  void aComparisonHasARowForEachPolicyAndLoadAndAPlot(@TempDir Path directory) throws Exception {
    Path plot = directory.resolve("goodput.png");
    ExitCode exitCode =
        run(
            false,
            "bench-compare --policies reserve,round-robin --loads 0.1,0.2 --seconds 1 --daemons 1"
                + " --plot "
                + plot);

    assertThat(exitCode).as(errors.toString(StandardCharsets.UTF_8)).isEqualTo(ExitCode.OK);
    assertThat(printed()).contains("| reserve | 0.10", "| round-robin | 0.20");
    assertThat(Files.size(plot)).isPositive();
  }

  private ExitCode run(boolean truncating, String line) {
    FleetDaemonFactory daemons = settings -> FakeDaemon.start(vertx, truncating);
    Surroundings surroundings =
        new Surroundings(
            new PrintStream(output, true, StandardCharsets.UTF_8),
            new PrintStream(errors, true, StandardCharsets.UTF_8),
            () -> TimeUnit.NANOSECONDS.toMillis(System.nanoTime()),
            Optional.of(daemons));
    return new Marjoramsail(surroundings).run(line.split(" "));
  }

  private String printed() {
    return output.toString(StandardCharsets.UTF_8);
  }
}
