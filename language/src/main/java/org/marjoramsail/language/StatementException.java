package org.marjoramsail.language;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.failure.MarjoramsailException;

/** A text that is not a statement. */
public final class StatementException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  private final String text;
  private final int offset;
  private final int line;
  private final int column;
  private final String found;
  private final transient List<String> allowed;
  private final String nearest;

  /**
   * Creates an instance with where the text stops making sense.
   *
   * @param text all that was said
   * @param offset where, in characters from zero
   * @param found what stands there
   * @param allowed what may stand there
   */
  public StatementException(String text, int offset, String found, List<String> allowed) {
    super(messageOf(text, offset, found, allowed));
    this.text = text;
    this.offset = offset;
    this.line = lineOf(text, offset);
    this.column = columnOf(text, offset);
    this.found = found;
    this.allowed = List.copyOf(allowed);
    this.nearest = NearestName.of(found, allowed).orElse(null);
  }

  /** All that was said. */
  public String text() {
    return text;
  }

  /** Where the text stops making sense, in characters from zero. */
  public int offset() {
    return offset;
  }

  /** The line of that place, from one. */
  public int line() {
    return line;
  }

  /** The column of that place, from one. */
  public int column() {
    return column;
  }

  /** What stands there; empty at the end. */
  public String found() {
    return found;
  }

  /** What may stand there. */
  public List<String> allowed() {
    return allowed;
  }

  /** The allowed word that was most likely meant. */
  public Optional<String> nearest() {
    return Optional.ofNullable(nearest);
  }

  private static String messageOf(String text, int offset, String found, List<String> allowed) {
    String shown = found.isEmpty() ? "the end" : "\"" + found + "\"";
    String hint =
        NearestName.of(found, allowed).map(name -> "; did you mean " + name + "?").orElse("");
    return "line "
        + lineOf(text, offset)
        + ", column "
        + columnOf(text, offset)
        + ": "
        + shown
        + " is not allowed here; allowed: "
        + String.join(", ", allowed)
        + hint;
  }

  private static int lineOf(String text, int offset) {
    return 1
        + (int) text.substring(0, offset).chars().filter(character -> character == '\n').count();
  }

  private static int columnOf(String text, int offset) {
    return offset - text.lastIndexOf('\n', offset - 1);
  }
}
