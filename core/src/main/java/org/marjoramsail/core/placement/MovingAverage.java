package org.marjoramsail.core.placement;

/**
 * Exponentially weighted moving average that ignores invalid samples and bounds each step.
 *
 * <p>The initial value has the weight of one sample, so that a few samples outweigh a wrong initial
 * estimate.
 */
final class MovingAverage {

  /** Weight of a sample once there are enough of them. */
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

  /**
   * Returns whether any sample was observed, so that the value is not only the initial estimate.
   */
  boolean hasObservations() {
    return weight < 1;
  }

  /** Adds a sample; a single outlier changes the average by a bounded factor only. */
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
