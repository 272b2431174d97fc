package org.marjoramsail.language;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;

import java.util.List;
import org.junit.jupiter.api.Test;

class ResultTableTest {

  private static final List<Column> COLUMNS =
      List.of(Column.text("host"), Column.number("revision"));

  @Test
  void aTableAlignsItsColumnsAndNamesSilentHosts() {
    ResultTable table =
        new ResultTable(
            COLUMNS,
            List.of(List.of("entry-1", "7"), List.of("e-2", "12")),
            List.of("entry-3"),
            true);

    assertThat(table.text())
        .isEqualTo(
            """
            host     revision
            entry-1         7
            e-2            12
            There are more rows; narrow the question with where.
            No answer from: entry-3
            """);
  }

  @Test
  void jsonHasNumbersAsNumbers() {
    ResultTable table =
        new ResultTable(
            COLUMNS, List.of(List.of("entry-1", "7"), List.of("e-2", "")), List.of("e-3"), false);

    assertThat(table.json())
        .hasToString(
            "{\"rows\":[{\"host\":\"entry-1\",\"revision\":7},{\"host\":\"e-2\",\"revision\":null}],"
                + "\"silentHosts\":[\"e-3\"],\"truncated\":false}");
  }

  @Test
  void aRowOfAnotherWidthIsAFaultOfTheProgram() {
    assertThatIllegalArgumentException()
        .isThrownBy(() -> new ResultTable(COLUMNS, List.of(List.of("entry-1")), List.of(), false));
  }
}
