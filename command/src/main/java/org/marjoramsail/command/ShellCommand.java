package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import org.jline.reader.EndOfFileException;
import org.jline.reader.LineReader;
import org.jline.reader.LineReaderBuilder;
import org.jline.reader.UserInterruptException;
import org.jline.reader.impl.DefaultParser;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.marjoramsail.command.operator.DaemonUnreachableException;
import org.marjoramsail.command.operator.OperatorClient;
import org.marjoramsail.command.operator.OperatorSession;
import org.marjoramsail.command.operator.ServerNames;
import org.marjoramsail.command.operator.StatementCompleter;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.language.StatementParser;

/** Takes statements from a terminal, one a line. */
@Command(name = "shell", description = "Takes statements from a terminal, with completion.")
@Examples(
    examples = "marjoramsail shell --server 10.0.1.5:9090 --token-file token",
    descriptions = "Tab completes words and names, arrows bring back earlier lines, exit ends")
public final class ShellCommand implements CommandAction {

  private static final String PROMPT = "marjoramsail> ";
  private static final List<String> ENDS = List.of("exit", "quit");

  @AirlineModule private OperatorOptions operator = new OperatorOptions();

  @Option(
      name = "--history",
      title = "file",
      description = "Where earlier lines are kept. Default: .marjoramsail_history at home")
  private String history =
      Path.of(System.getProperty("user.home"), ".marjoramsail_history").toString();

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    boolean isJson = operator.isJson();
    StatementParser parser = new StatementParser();
    try (OperatorClient client = operator.client();
        Terminal terminal = TerminalBuilder.builder().dumb(true).build()) {
      OperatorSession session =
          new OperatorSession(client, parser, isJson, surroundings.output(), surroundings.errors());
      ServerNames names = new ServerNames(client, surroundings.clock());
      LineReader reader = reader(terminal, new StatementCompleter(parser, names));
      return loop(reader, session, surroundings);
    } catch (IOException failure) {
      surroundings.errors().println("The terminal failed: " + failure.getMessage());
      return ExitCode.FAILURE;
    }
  }

  /** The language has its own quotes, so the terminal's parser splits at blanks only. */
  private LineReader reader(Terminal terminal, StatementCompleter completer) {
    DefaultParser blanks = new DefaultParser();
    blanks.setQuoteChars(new char[0]);
    blanks.setEscapeChars(new char[0]);
    return LineReaderBuilder.builder()
        .terminal(terminal)
        .parser(blanks)
        .completer(completer)
        .variable(LineReader.HISTORY_FILE, Path.of(history))
        .option(LineReader.Option.DISABLE_EVENT_EXPANSION, true)
        .build();
  }

  private static ExitCode loop(
      LineReader reader, OperatorSession session, Surroundings surroundings) {
    while (true) {
      try {
        String line = reader.readLine(PROMPT).strip();
        if (ENDS.contains(line)) {
          return ExitCode.OK;
        }
        if (!line.isEmpty()) {
          session.run(line);
        }
      } catch (UserInterruptException dropped) {
        surroundings.output().println();
      } catch (EndOfFileException ended) {
        return ExitCode.OK;
      } catch (DaemonUnreachableException silent) {
        surroundings.errors().println(silent.getMessage());
      }
    }
  }
}
