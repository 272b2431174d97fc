package org.marjoramsail.standin.load;

import org.HdrHistogram.Histogram;

/**
 * Percentiles of a latency in milliseconds.
 *
 * @param count how many values
 * @param p50 half are no longer
 * @param p95 95 in 100 are no longer
 * @param p99 99 in 100 are no longer
 * @param maximum the longest
 */
public record Percentiles(long count, double p50, double p95, double p99, double maximum) {

  private static final double MICROS_PER_MILLI = 1_000;
  private static final int SIGNIFICANT_DIGITS = 3;

  static Histogram histogram() {
    return new Histogram(SIGNIFICANT_DIGITS);
  }

  static void record(Histogram histogram, double millis) {
    histogram.recordValue(Math.max(0, Math.round(millis * MICROS_PER_MILLI)));
  }

  static Percentiles of(Histogram histogram) {
    return new Percentiles(
        histogram.getTotalCount(),
        millisAt(histogram, 50),
        millisAt(histogram, 95),
        millisAt(histogram, 99),
        histogram.getMaxValue() / MICROS_PER_MILLI);
  }

  private static double millisAt(Histogram histogram, double percentile) {
    return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
  }
}
