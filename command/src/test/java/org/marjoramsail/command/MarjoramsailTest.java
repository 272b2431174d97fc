package org.marjoramsail.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.core.time.ManualClock;

final class MarjoramsailTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();
  private final Marjoramsail program =
      new Marjoramsail(
          new Surroundings(
              new PrintStream(output, true, StandardCharsets.UTF_8),
              new PrintStream(errors, true, StandardCharsets.UTF_8),
              new ManualClock(0),
              Optional.empty()));

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "workloda | workload",
        "worklaod --seed 3 | workload",
        "workload --sede 3 | --seed",
        "workload --sed=3 | --seed",
        "workload --deployment rosaria | rosario",
        "workload --shape rusch | rush",
        "workload --seconds 0 | 1 to 86400",
        "workload --load 11 | at most 10",
        "workload --seed many | seed",
        "workload surplus | surplus",
        "help workloda | workload",
        "run --server 10.0.0.1 show requests | 10.0.1.5:9090",
        "run --server 10.0.0.1:9 --token-file none show requests | can be read",
        "run --output tabel show requests | table",
        "run --watch 4000 show requests | 1 to 3600",
        "standin prefil | prefill",
        "standin plain --port 70000 | 0 to 65535"
      })
  void aFaultyCommandLineEndsAsUsageAndSaysWhatIsAllowed(String line, String told) {
    assertThat(run(line)).isEqualTo(ExitCode.USAGE);
    assertThat(errors.toString(StandardCharsets.UTF_8)).contains(told).contains("--help");
    assertThat(output.size()).isZero();
  }

  @Test
  void helpNamesEveryCommandAndEveryExitCode() {
    assertThat(run("--help")).isEqualTo(ExitCode.OK);
    String help = output.toString(StandardCharsets.UTF_8);
    assertThat(help).contains("workload");
    for (ExitCode exitCode : ExitCode.values()) {
      assertThat(help).contains(exitCode.meaning());
    }
  }

  @Test
  void helpOfACommandShowsItsOptionsDefaultsAndExamples() {
    assertThat(run("workload --help")).isEqualTo(ExitCode.OK);
    assertThat(output.toString(StandardCharsets.UTF_8).replaceAll("\\s+", " "))
        .contains("--deployment", "Default: rush", "EXAMPLES");
  }

  @Test
  void aWorkloadIsPrintedTheSameEachTime() {
    run("workload --deployment rosario --seconds 5 --each");
    String first = output.toString(StandardCharsets.UTF_8);
    output.reset();
    run("workload --deployment rosario --seconds 5 --each");

    assertThat(output.toString(StandardCharsets.UTF_8)).isEqualTo(first).contains("hearing-date");
  }

  private ExitCode run(String line) {
    return program.run(line.split(" "));
  }
}
