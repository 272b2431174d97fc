package org.marjoramsail.daemon.operator;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

class LanguageExamplesTest {

  private static final Path PAGE = Path.of("..", "docs", "operate", "language.md");

  @ParameterizedTest
  @MethodSource("statements")
  void eachStatementOfThePageIsAnsweredOrCarriedOut(String statement) throws Exception {
    OperatorFixture fixture = new OperatorFixture();

    Future<StatementResponse> answer = fixture.run(OperatorFixture.ADMINISTRATOR, statement);

    assertThat(answer.cause()).isNull();
    assertThat(answer.isComplete()).isTrue();
  }

  static Stream<String> statements() throws IOException {
    List<String> statements = new ArrayList<>();
    boolean isInside = false;
    for (String line : Files.readAllLines(PAGE)) {
      if (line.startsWith("```")) {
        isInside = line.equals("```marjoramsail");
      } else if (isInside) {
        statements.add(line);
      }
    }
    assertThat(statements).hasSizeGreaterThan(30);
    return statements.stream();
  }
}
