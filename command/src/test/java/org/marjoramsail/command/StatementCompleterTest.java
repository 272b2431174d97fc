package org.marjoramsail.command;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;
import org.jline.reader.Candidate;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.terminal.Terminal;
import org.jline.terminal.impl.DumbTerminal;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.marjoramsail.command.operator.StatementCompleter;
import org.marjoramsail.language.NameKind;
import org.marjoramsail.language.StatementParser;

final class StatementCompleterTest {

  private final StatementCompleter completer =
      new StatementCompleter(
          new StatementParser(),
          kind -> kind == NameKind.UPSTREAM ? List.of("lector-1", "lector-2") : List.of());

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      value = {
        "show requ | requests",
        "drain upstream le | lector-1 lector-2",
        "drain upstream lector-2 | lector-2",
      })
  void theTerminalIsOfferedWhatTheLanguageAllows(String typed, String offered) throws Exception {
    List<Candidate> candidates = new ArrayList<>();
    try (Terminal terminal =
        new DumbTerminal(InputStream.nullInputStream(), OutputStream.nullOutputStream())) {
      LineReader reader = LineReaderBuilder.builder().terminal(terminal).build();

      completer.complete(reader, ShellCommand.words().parse(typed, typed.length()), candidates);
    }

    assertThat(candidates).extracting(Candidate::value).containsExactly(offered.split(" "));
  }
}
