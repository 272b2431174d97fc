package org.marjoramsail.command.capacity;

/**
 * One measured value.
 *
 * @param measure what was measured
 * @param size at which size; zero where it depends on none
 * @param load under which load; zero where it depends on none
 * @param value the value, in the unit of the measure
 */
public record Point(Measure measure, double size, double load, double value) {

  private static final double DIGITS = 1_000;

  /** Keeps what a reader can use: three digits behind the point. */
  public Point {
    value = Math.round(value * DIGITS) / DIGITS;
  }

  /** A value that depends on nothing. */
  static Point of(Measure measure, double value) {
    return new Point(measure, 0, 0, value);
  }

  /** A value at a size. */
  static Point of(Measure measure, double size, double value) {
    return new Point(measure, size, 0, value);
  }
}
