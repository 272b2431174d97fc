package org.marjoramsail.command.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;

/** How processes of daemons are started. */
final class ProcessDaemonsTest {

  private static final Path DEPLOYMENT = Path.of("..", "deploy", "system.toml");
  private static final Pattern OPTION = Pattern.compile("(?<= )-X\\S+");
  private static final List<String> OF_THE_ARCHIVE = List.of("-XX:SharedArchiveFile=", "-Xshare:");

  /** Guards against runs of processes that differ from the deployed ones. */
  @Test
  void processesStartWithTheOptionsOfTheDeployment() throws Exception {
    String command =
        Files.readAllLines(DEPLOYMENT).stream()
            .filter(line -> line.startsWith("run = "))
            .findFirst()
            .orElseThrow();
    List<String> deployed =
        OPTION
            .matcher(command)
            .results()
            .map(match -> match.group())
            .filter(option -> OF_THE_ARCHIVE.stream().noneMatch(option::startsWith))
            .toList();

    assertThat(ProcessDaemons.VIRTUAL_MACHINE_OPTIONS).containsExactlyElementsOf(deployed);
  }
}
