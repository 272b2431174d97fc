package org.marjoramsail.core.placement;

/** An exponentially weighted moving average that ignores nonsense and bounds each step. */
final class MovingAverage {

  private static final double WEIGHT = 0.1;
  private static final double LARGEST_STEP_FACTOR = 4;

  private double value;

  MovingAverage(double first) {
    this.value = first;
  }

  double value() {
    return value;
  }

  /** Takes one observation; one outlier moves the average by a bounded factor only. */
  void observe(double sample) {
    if (!(sample > 0) || Double.isInfinite(sample)) {
      return;
    }
    double bounded =
        Math.max(value / LARGEST_STEP_FACTOR, Math.min(value * LARGEST_STEP_FACTOR, sample));
    value += WEIGHT * (bounded - value);
  }
}
