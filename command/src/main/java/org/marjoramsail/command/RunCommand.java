package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.AirlineModule;
import com.github.rvesse.airline.annotations.Arguments;
import com.github.rvesse.airline.annotations.Command;
import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.help.Examples;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.marjoramsail.command.operator.OperatorClient;
import org.marjoramsail.command.operator.OperatorSession;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.language.StatementParser;

/** Has one statement carried out. */
@Command(name = "run", description = "Has a daemon carry out one statement of the language.")
@Examples(
    examples = {
      "marjoramsail run --server 10.0.1.5:9090 --token-file token 'show requests' --watch 2",
      "marjoramsail run --server 10.0.1.5:9090 --token-file token 'drain upstream lector-2'"
    },
    descriptions = {"What runs, again every two seconds", "No new work for one server"})
public final class RunCommand implements CommandAction {

  private static final String WATCH = "--watch";
  private static final String COUNT = "--count";
  private static final String BASE = "--base";
  private static final long NO_BASE = -1;
  private static final int MOST_SECONDS = 3_600;

  @AirlineModule private OperatorOptions operator = new OperatorOptions();

  @Option(
      name = WATCH,
      title = "seconds",
      description = "Asks again after so many seconds, 1 to 3600; for questions only")
  private int watchSeconds;

  @Option(
      name = COUNT,
      title = "times",
      description = "With --watch: ends after so many answers. Default: never")
  private int count;

  @Option(
      name = "--order",
      title = "name",
      description = "Names the order; the same again has no further effect. Default: a new name")
  private String order = "cli-" + UUID.randomUUID();

  @Option(
      name = BASE,
      title = "revision",
      description = "The revision that you saw; a later change of the same objects is a conflict")
  private long baseRevision = NO_BASE;

  @Arguments(title = "statement", description = "The statement, as one argument or as words")
  private List<String> words = new ArrayList<>();

  @Override
  public ExitCode run(Surroundings surroundings) throws MarjoramsailException {
    if (watchSeconds < 0 || watchSeconds > MOST_SECONDS) {
      throw new UsageException(WATCH, Integer.toString(watchSeconds), "1 to " + MOST_SECONDS);
    }
    if (baseRevision < NO_BASE) {
      throw new UsageException(BASE, Long.toString(baseRevision), "0 or more");
    }
    Optional<Long> base = Optional.of(baseRevision).filter(revision -> revision != NO_BASE);
    boolean isJson = operator.isJson();
    String text = String.join(" ", words);
    try (OperatorClient client = operator.client()) {
      OperatorSession session =
          new OperatorSession(
              client, new StatementParser(), isJson, surroundings.output(), surroundings.errors());
      if (watchSeconds == 0) {
        return exitCode(session.run(text, order, base));
      }
      return watch(session, text);
    }
  }

  /** An order is not given again and again by an oversight. */
  private ExitCode watch(OperatorSession session, String text) throws MarjoramsailException {
    ExitCode last = exitCode(session.run(session.isQuestion(text) ? text : refuseOrder(text)));
    for (int answers = 1; last == ExitCode.OK && answers != count && pause(); answers++) {
      last = exitCode(session.run(text));
    }
    return last;
  }

  private static String refuseOrder(String text) throws UsageException {
    throw new UsageException(WATCH, text, "a question such as show requests");
  }

  /** Whether the time has passed without an end of the process. */
  private boolean pause() {
    try {
      return !new CountDownLatch(1).await(watchSeconds, TimeUnit.SECONDS);
    } catch (InterruptedException ended) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private static ExitCode exitCode(OperatorSession.Outcome outcome) {
    return switch (outcome) {
      case DONE -> ExitCode.OK;
      case MALFORMED -> ExitCode.USAGE;
      case REFUSED -> ExitCode.REFUSED;
    };
  }
}
