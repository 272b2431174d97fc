package org.marjoramsail.language;

import java.util.Optional;
import java.util.function.Function;
import java.util.function.Predicate;
import java.util.regex.Pattern;
import org.jparsec.Parser;
import org.jparsec.Parsers;
import org.jparsec.Scanners;
import org.jparsec.Token;
import org.jparsec.TokenMap;
import org.jparsec.pattern.Patterns;

/** Cuts a text into words, quoted texts and symbols, and recognises single ones. */
final class Lexis {

  /** Stands for the cursor while completing; no parser takes it. */
  static final String CURSOR = "\uE000";

  private static final Pattern QUOTED = Pattern.compile("\"(\\\\.|[^\"\\\\])*\"", Pattern.DOTALL);
  private static final Pattern SYMBOL = Pattern.compile("!=|[=,;{}\\[\\]" + CURSOR + "]");

  private static final Parser<Lexeme> TOKEN =
      Parsers.or(
          scanner(Words.BARE, "a word").map(text -> new Lexeme(text, Lexeme.Kind.BARE)),
          scanner(QUOTED, "a quoted text")
              .map(text -> new Lexeme(Words.unquoted(text), Lexeme.Kind.QUOTED)),
          scanner(SYMBOL, "a symbol").map(text -> new Lexeme(text, Lexeme.Kind.SYMBOL)));

  private static final Parser<Void> GAP =
      Parsers.or(Scanners.WHITESPACES, Scanners.lineComment("#")).skipMany();

  private Lexis() {}

  /** The parser of a whole text, given the one of its tokens. */
  static <T> Parser<T> whole(Parser<T> parser) {
    return parser.from(TOKEN, GAP);
  }

  /** Takes exactly this word, without quotes. */
  static Parser<String> keyword(String word) {
    return token(
        word, lexeme -> lexeme.isBare() && lexeme.text().equals(word) ? Optional.of(word) : none());
  }

  /** Takes exactly these words. */
  static Parser<String> keywords(String first, String second) {
    return Parsers.sequence(keyword(first), keyword(second));
  }

  /** Takes exactly this symbol. */
  static Parser<String> symbol(String symbol) {
    return token(
        symbol,
        lexeme ->
            lexeme.kind() == Lexeme.Kind.SYMBOL && lexeme.text().equals(symbol)
                ? Optional.of(symbol)
                : none());
  }

  /** Accepts any word or quoted text that is not blank. */
  static Parser<String> name(NameKind kind) {
    return text(kind.label(), text -> !text.isBlank());
  }

  /** Accepts any word or quoted text that passes a check. */
  static Parser<String> text(String label, Predicate<String> check) {
    return token(
        label,
        lexeme ->
            lexeme.kind() != Lexeme.Kind.SYMBOL && check.test(lexeme.text())
                ? Optional.of(lexeme.text())
                : none());
  }

  private static Optional<String> none() {
    return Optional.empty();
  }

  private static Parser<String> token(String label, Function<Lexeme, Optional<String>> match) {
    return Parsers.token(new LabelledMap(label, match));
  }

  private static Parser<String> scanner(Pattern pattern, String label) {
    return Patterns.regex(pattern).toScanner(label).source();
  }

  /** A part of a text. */
  private record Lexeme(String text, Kind kind) {

    enum Kind {
      BARE,
      QUOTED,
      SYMBOL
    }

    boolean isBare() {
      return kind == Kind.BARE;
    }
  }

  /** Recognises a token; the library reports what {@code toString} says as expected. */
  private record LabelledMap(String label, Function<Lexeme, Optional<String>> match)
      implements TokenMap<String> {

    @Override
    public String map(Token token) {
      return token.value() instanceof Lexeme lexeme ? match.apply(lexeme).orElse(null) : null;
    }

    @Override
    public String toString() {
      return label;
    }
  }
}
