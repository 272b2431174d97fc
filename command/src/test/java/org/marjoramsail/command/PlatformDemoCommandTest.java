package org.marjoramsail.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.daemon.assembly.SystemClock;

class PlatformDemoCommandTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  @Test
  void twoDaemonsServeEveryKindOfRequestOnce() {
    ExitCode exit = run("platform-demo", "--seconds", "1", "--rate", "40");

    assertThat(exit).isEqualTo(ExitCode.OK);
    assertThat(output.toString(StandardCharsets.UTF_8))
        .contains("/once/", "/repeatable/", "/stream/", "/resumable/")
        .contains("0 attempts ran twice.");
  }

  @Test
  void aNumberThatIsNotAllowedIsNamed() {
    ExitCode exit = run("platform-demo", "--daemons", "0");

    assertThat(exit).isEqualTo(ExitCode.USAGE);
    assertThat(errors.toString(StandardCharsets.UTF_8))
        .contains("--daemons is '0'; allowed is 1 to 20.");
  }

  private ExitCode run(String... arguments) {
    Surroundings surroundings =
        new Surroundings(print(output), print(errors), new SystemClock(), Optional.empty());
    return new Marjoramsail(surroundings).run(arguments);
  }

  private static PrintStream print(ByteArrayOutputStream stream) {
    return new PrintStream(stream, true, StandardCharsets.UTF_8);
  }
}
