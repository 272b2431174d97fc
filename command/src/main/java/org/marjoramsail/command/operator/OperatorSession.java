package org.marjoramsail.command.operator;

import java.io.PrintStream;
import java.util.Optional;
import java.util.UUID;
import org.marjoramsail.language.Command;
import org.marjoramsail.language.Question;
import org.marjoramsail.language.StatementException;
import org.marjoramsail.language.StatementParser;

/** Carries out statements one after the other and prints what became of each. */
public final class OperatorSession {

  /** What became of a statement. */
  public enum Outcome {
    /** Answered or carried out. */
    DONE,
    /** Not sent, since it cannot be understood. */
    MALFORMED,
    /** The daemon refused it. */
    REFUSED
  }

  private final OperatorClient client;
  private final StatementParser parser;
  private final boolean isJson;
  private final PrintStream output;
  private final PrintStream errors;

  /**
   * Creates an instance with all that it needs.
   *
   * @param isJson whether answers are printed as the daemon's JSON, not as tables
   * @param output where answers are printed
   * @param errors where refusals are printed
   */
  public OperatorSession(
      OperatorClient client,
      StatementParser parser,
      boolean isJson,
      PrintStream output,
      PrintStream errors) {
    this.client = client;
    this.parser = parser;
    this.isJson = isJson;
    this.output = output;
    this.errors = errors;
  }

  /** Whether a text asks and changes nothing; also false when it cannot be understood. */
  public boolean isQuestion(String text) {
    try {
      Command command = parser.parse(text);
      return command.statement() instanceof Question;
    } catch (StatementException malformed) {
      return false;
    }
  }

  /** Carries out one statement under a name of its own, based on no revision. */
  public Outcome run(String text) throws DaemonUnreachableException {
    return run(text, "cli-" + UUID.randomUUID(), Optional.empty());
  }

  /**
   * Carries out one statement.
   *
   * @param order names an order, so that the same again has no further effect
   * @param baseRevision the revision that the operator saw
   * @throws DaemonUnreachableException when there was no answer; an order may have taken effect
   */
  public Outcome run(String text, String order, Optional<Long> baseRevision)
      throws DaemonUnreachableException {
    try {
      parser.parse(text);
    } catch (StatementException malformed) {
      explain(malformed);
      return Outcome.MALFORMED;
    }
    OperatorReply reply = client.send(text, order, baseRevision, !isJson);
    String shown = isJson ? reply.body().strip() + "\n" : ReplyText.of(reply);
    (reply.isRefusal() ? errors : output).print(shown);
    return reply.isRefusal() ? Outcome.REFUSED : Outcome.DONE;
  }

  /** Points at the place in the statement, then says what is allowed there. */
  private void explain(StatementException malformed) {
    String line = malformed.text().split("\n", -1)[malformed.line() - 1];
    errors.println("  " + line);
    errors.println("  " + " ".repeat(Math.max(0, malformed.column() - 1)) + "^");
    errors.println(malformed.getMessage());
  }
}
