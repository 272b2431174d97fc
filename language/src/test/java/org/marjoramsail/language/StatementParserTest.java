package org.marjoramsail.language;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class StatementParserTest {

  private final StatementParser parser = new StatementParser();

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "shwo requests | 1 | shwo | show | show",
        "show requets | 6 | requets | requests | requests",
        "show requests where organization = x | 21 | organization | organisation | organisation",
        "show requests where organisation x | 34 | x | = |",
        "show shards of | 15 | | a service |",
        "show members of x | 14 | of | where |",
        "create rule r with service-class = quik | 36 | quik | quick | quick",
        "create model m with version = 1 | 32 | | , kv-bytes-per-token = ... |",
        "change model m with kv-bytes-per-token = many | 42 | many | a whole number from 0 |",
        "change model m with version = 1, version = 2 | 45 | | version only once |",
        "change role of upstream u to decoder | 30 | decoder | decode | decode",
        "begin; load model m version 1 on u; commit | 8 | load | create |",
        "show shards; show members | 14 | show | the end |",
        "show requests where host = \"x | 28 | \" | a value |",
      })
  void anErrorNamesItsPlaceAndWhatIsAllowed(
      String text, int column, String found, String allowed, String nearest) {
    StatementException failure = failureOf(text);

    assertThat(failure.column()).isEqualTo(column);
    assertThat(failure.found()).isEqualTo(found == null ? "" : found);
    assertThat(failure.allowed()).contains(allowed);
    assertThat(failure.nearest().orElse(null)).isEqualTo(nearest);
  }

  @Test
  void anErrorOnALaterLineNamesThatLine() {
    StatementException failure =
        failureOf("begin # two changes\n  delete rule a;\n  delete rul b\ncommit");

    assertThat(failure.line()).isEqualTo(3);
    assertThat(failure.column()).isEqualTo(10);
    assertThat(failure).hasMessageContaining("did you mean rule?");
  }

  @ParameterizedTest
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '`',
      value = {
        "sho | 0 | show",
        "show re | 5 | refusals,requests,retries,revision",
        "show upstreams of | 15 | of",
        "show upstreams of ~ | 18 | lector,ventanilla",
        "show upstreams of l | 18 | lector",
        "drain ~ | 6 | host,upstream",
        "create rule r with service-class = ~ | 35 | deferrable,quick,standard,timely",
        "show requests where organisation ~ | 33 | !=,=",
        "nonsense wo | 9 | ``",
      })
  void completionOffersWhatTheGrammarAllows(String text, int start, String candidates) {
    String typed = text.replace("~", "");

    Completion completion = parser.complete(typed, typed.length(), StatementParserTest::names);

    assertThat(completion.start()).isEqualTo(start);
    List<String> expected = candidates.isEmpty() ? List.of() : List.of(candidates.split(","));
    assertThat(completion.candidates()).isEqualTo(expected);
  }

  @Test
  void aTextWithoutEndIsRefusedBeforeItIsParsed() {
    StatementException failure = failureOf("x".repeat(StatementParser.MAXIMUM_LENGTH + 1));

    assertThat(failure.allowed()).containsExactly("at most 200000 characters");
  }

  private static List<String> names(NameKind kind) {
    return kind == NameKind.SERVICE ? List.of("lector", "ventanilla") : List.of();
  }

  private StatementException failureOf(String text) {
    return catchThrowableOfType(StatementException.class, () -> parser.parse(text));
  }
}
