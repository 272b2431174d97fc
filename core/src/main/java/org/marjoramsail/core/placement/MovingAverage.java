package org.marjoramsail.core.placement;

/**
 * An exponentially weighted moving average that ignores nonsense and bounds each step.
 *
 * <p>The value that it starts with counts as one observation: a guess that is ten times too long is
 * outvoted by ten samples and not only by forty.
 */
final class MovingAverage {

  /** The weight of one sample once there are enough of them. */
  private static final double MINIMUM_WEIGHT = 0.1;

  private static final double MAXIMUM_STEP_FACTOR = 4;

  private double value;
  private double weight = 1;

  MovingAverage(double initialValue) {
    this.value = initialValue;
  }

  double value() {
    return value;
  }

  /** Whether anything was observed, so that the value is no guess. */
  boolean hasObservations() {
    return weight < 1;
  }

  /** Handles one observation; one outlier moves the average by a bounded factor only. */
  void observe(double sample) {
    if (!(sample > 0) || Double.isInfinite(sample)) {
      return;
    }
    double bounded =
        Math.max(value / MAXIMUM_STEP_FACTOR, Math.min(value * MAXIMUM_STEP_FACTOR, sample));
    weight = Math.max(MINIMUM_WEIGHT, weight / (weight + 1));
    value += weight * (bounded - value);
  }
}
