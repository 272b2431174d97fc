package org.marjoramsail.language;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.math.BigDecimal;
import java.util.List;
import java.util.stream.Collectors;

/**
 * An answer to an operator.
 *
 * @param columns its columns
 * @param rows its rows; each has a text for each column
 * @param silentHosts the hosts that should have answered and did not
 * @param isTruncated whether there are more rows than these
 */
public record ResultTable(
    List<Column> columns, List<List<String>> rows, List<String> silentHosts, boolean isTruncated) {

  private static final String GAP = "  ";

  /** Copies the lists and checks the width of each row. */
  public ResultTable {
    columns = List.copyOf(columns);
    rows = rows.stream().map(List::copyOf).toList();
    silentHosts = List.copyOf(silentHosts);
    for (List<String> row : rows) {
      if (row.size() != columns.size()) {
        throw new IllegalArgumentException(
            "A row has " + row.size() + " cells, not the " + columns.size() + " of " + columns);
      }
    }
  }

  /** The answer as lines for a terminal, each with its line end. */
  public String text() {
    List<Integer> widths = columns.stream().map(this::widthOf).toList();
    StringBuilder text = new StringBuilder();
    appendLine(text, columns.stream().map(Column::name).toList(), widths);
    for (List<String> row : rows) {
      appendLine(text, row, widths);
    }
    if (isTruncated) {
      text.append("There are more rows; narrow the question with where.\n");
    }
    if (!silentHosts.isEmpty()) {
      text.append("No answer from: ").append(String.join(", ", silentHosts)).append('\n');
    }
    return text.toString();
  }

  /** The answer as JSON: {@code rows} of objects, {@code silentHosts} and {@code truncated}. */
  public ObjectNode json() {
    ObjectNode answer = JsonNodeFactory.instance.objectNode();
    ArrayNode list = answer.putArray("rows");
    for (List<String> row : rows) {
      ObjectNode object = list.addObject();
      for (int position = 0; position < row.size(); position++) {
        put(object, columns.get(position), row.get(position));
      }
    }
    ArrayNode silent = answer.putArray("silentHosts");
    silentHosts.forEach(silent::add);
    answer.put("truncated", isTruncated);
    return answer;
  }

  private static void put(ObjectNode object, Column column, String cell) {
    if (column.isNumber() && !cell.isEmpty()) {
      object.put(column.name(), new BigDecimal(cell));
    } else if (column.isNumber()) {
      object.putNull(column.name());
    } else {
      object.put(column.name(), cell);
    }
  }

  private int widthOf(Column column) {
    int position = columns.indexOf(column);
    return rows.stream()
        .mapToInt(row -> row.get(position).length())
        .reduce(column.name().length(), Math::max);
  }

  private void appendLine(StringBuilder text, List<String> cells, List<Integer> widths) {
    StringBuilder line = new StringBuilder();
    for (int position = 0; position < cells.size(); position++) {
      String cell = cells.get(position);
      String padding = " ".repeat(widths.get(position) - cell.length());
      boolean isNumber = columns.get(position).isNumber();
      line.append(isNumber ? padding + cell : cell + padding).append(GAP);
    }
    text.append(line.toString().stripTrailing()).append('\n');
  }

  /** The cells of one column. */
  public List<String> cellsOf(String column) {
    int position = columns.stream().map(Column::name).collect(Collectors.toList()).indexOf(column);
    return rows.stream().map(row -> row.get(position)).toList();
  }
}
