package org.marjoramsail.core.cost;

/**
 * Learned time of a unit of work on one incarnation of an upstream: a token, or a millisecond of
 * expected work. It is biased towards the mean of the service while few attempts have completed.
 */
public final class UpstreamSpeed {

  /** Weight that older attempts keep with each further one. */
  private static final double RETAINED_WEIGHT = 0.995;

  /** Weight of the mean of the service, in attempts. */
  private static final double MEAN_WEIGHT = 4;

  /** Attempts from which the standard error is taken as known. */
  private static final double COMPARABLE_WEIGHT = 25;

  /** Bounds the effect of a single attempt, for instance one that was paused. */
  private static final double MAXIMUM_STEP_FACTOR = 4;

  private double weight;
  private double sum;
  private double squares;

  /** Creates the speed of an upstream of which nothing is known. */
  public UpstreamSpeed() {}

  /** Adds the time of one unit in a completed attempt; invalid values are ignored. */
  public void observe(double millisPerUnit) {
    if (!(millisPerUnit > 0) || Double.isInfinite(millisPerUnit)) {
      return;
    }
    double bounded = millisPerUnit;
    if (weight >= MEAN_WEIGHT) {
      double average = sum / weight;
      bounded = Math.min(average * MAXIMUM_STEP_FACTOR, millisPerUnit);
    }
    weight = weight * RETAINED_WEIGHT + 1;
    sum = sum * RETAINED_WEIGHT + bounded;
    squares = squares * RETAINED_WEIGHT + bounded * bounded;
  }

  /** Returns whether any attempt has completed. */
  public boolean isLearned() {
    return weight > 0;
  }

  /** Returns the expected time of a unit, given the mean of the service. */
  public double millisPerUnit(double serviceMean) {
    return (sum + MEAN_WEIGHT * serviceMean) / (weight + MEAN_WEIGHT);
  }

  /** Returns the observed time of a unit; only valid if it is learned. */
  double observedMillisPerUnit() {
    return sum / weight;
  }

  /** Returns the share of the observations, rather than the mean, in the expected time. */
  double confidence() {
    return weight / (weight + MEAN_WEIGHT);
  }

  /** Returns whether enough attempts completed for a difference to be significant. */
  boolean isComparable() {
    return weight >= COMPARABLE_WEIGHT;
  }

  /** Returns the standard error of the expected time; only valid if it is learned. */
  double standardError() {
    double average = sum / weight;
    double variance = Math.max(0, squares / weight - average * average);
    return confidence() * Math.sqrt(variance / weight);
  }
}
