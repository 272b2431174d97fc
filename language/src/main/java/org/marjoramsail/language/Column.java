package org.marjoramsail.language;

/**
 * A column of an answer.
 *
 * @param name its heading, and what conditions call it
 * @param isNumber whether its cells are numbers
 */
public record Column(String name, boolean isNumber) {

  /** A column of texts. */
  public static Column text(String name) {
    return new Column(name, false);
  }

  /** A column of numbers. */
  public static Column number(String name) {
    return new Column(name, true);
  }
}
