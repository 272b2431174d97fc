package org.marjoramsail.language;

import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jparsec.Parser;
import org.jparsec.error.ParseErrorDetails;
import org.jparsec.error.ParserException;

/** Turns what an operator says into a command, and proposes how an unfinished one goes on. */
public final class StatementParser {

  /** The longest text that is parsed, in characters. */
  public static final int MAXIMUM_LENGTH = 200_000;

  private static final Pattern TOKEN_AT = Pattern.compile("[\\p{L}\\p{N}_.:/@+*%-]+|\\S");
  private static final Pattern UNFINISHED_WORD = Pattern.compile("[\\p{L}\\p{N}_.:/@+*%-]*$");

  private final Parser<Command> parser = Lexis.whole(Grammar.command());

  /** Creates an instance with the one grammar that there is. */
  public StatementParser() {}

  /**
   * Parses one command.
   *
   * @throws StatementException when the text is not one, with the place and what is allowed there
   */
  public Command parse(String text) throws StatementException {
    if (text.length() > MAXIMUM_LENGTH) {
      throw new StatementException(
          text, MAXIMUM_LENGTH, "", List.of("at most " + MAXIMUM_LENGTH + " characters"));
    }
    try {
      return parser.parse(text);
    } catch (ParserException failure) {
      throw explained(text, failure);
    }
  }

  /**
   * Proposes how a text goes on.
   *
   * @param text what has been typed
   * @param position where the cursor stands, in characters from zero
   * @param names the names that there are
   */
  public Completion complete(String text, int position, NameSource names) {
    String head = text.substring(0, position);
    Matcher matcher = UNFINISHED_WORD.matcher(head);
    int start = matcher.find() ? matcher.start() : position;
    String typed = head.substring(start);
    String probe = head.substring(0, start) + " " + Lexis.CURSOR;
    List<String> candidates = new ArrayList<>();
    for (String label : expectedAtEnd(probe)) {
      candidates.addAll(textsOf(label, names));
    }
    List<String> fitting =
        candidates.stream().filter(word -> word.startsWith(typed)).distinct().sorted().toList();
    return new Completion(start, fitting);
  }

  private List<String> expectedAtEnd(String probe) {
    try {
      parser.parse(probe);
      return List.of();
    } catch (ParserException failure) {
      ParseErrorDetails details = failure.getErrorDetails();
      boolean isAtCursor = details != null && details.getIndex() == probe.length() - 1;
      return isAtCursor ? details.getExpected() : List.of();
    }
  }

  private static List<String> textsOf(String label, NameSource names) {
    return NameKind.ofLabel(label)
        .map(kind -> names.namesOf(kind).stream().map(Words::quoted).toList())
        .orElseGet(() -> label.contains(" ") ? List.of() : List.of(label));
  }

  private static StatementException explained(String text, ParserException failure) {
    ParseErrorDetails details = failure.getErrorDetails();
    if (details == null) {
      return new StatementException(text, text.length(), "", List.of());
    }
    int offset = Math.min(details.getIndex(), text.length());
    Matcher matcher = TOKEN_AT.matcher(text);
    boolean isFound = matcher.find(offset) && matcher.start() == offset;
    List<String> allowed = details.getExpected().stream().distinct().map(Labels::shown).toList();
    return new StatementException(text, offset, isFound ? matcher.group() : "", allowed);
  }

  /** Words what the library reports. */
  private static final class Labels {

    private static String shown(String label) {
      return label.equals("EOF") ? "the end" : label;
    }
  }
}
