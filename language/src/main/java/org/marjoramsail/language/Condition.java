package org.marjoramsail.language;

/**
 * Picks rows by the text of one column.
 *
 * @param column the name of the column
 * @param comparison how the texts are compared
 * @param value what the text is compared with
 */
public record Condition(String column, Comparison comparison, String value) {

  /** How two texts are compared. */
  public enum Comparison {
    /** The same text. */
    EQUAL("="),
    /** Another text. */
    DIFFERENT("!=");

    private final String symbol;

    Comparison(String symbol) {
      this.symbol = symbol;
    }

    /** The comparison as operators write it. */
    public String symbol() {
      return symbol;
    }
  }

  /** Whether a cell with this text is picked. */
  public boolean matches(String text) {
    return text.equals(value) == (comparison == Comparison.EQUAL);
  }

  String canonical() {
    return column + " " + comparison.symbol() + " " + Words.quoted(value);
  }
}
