package org.marjoramsail.core.cost;

import java.util.Collection;

/**
 * Speeds of the upstreams of one role of a service.
 *
 * @param meanMillisPerUnit mean time of a unit of work
 * @param differs whether the speeds differ by more than chance and more than is worth considering
 */
public record SpeedComparison(double meanMillisPerUnit, boolean differs) {

  /** Ratio of the slowest to the fastest up to which upstreams count as equally fast. */
  private static final double EQUAL_RATIO = 1.15;

  /** Standard errors that are attributed to chance. */
  private static final double CHANCE_ERRORS = 3;

  /**
   * Compares speeds.
   *
   * @param initialMillisPerUnit the mean if nothing is learned
   */
  public static SpeedComparison of(Collection<UpstreamSpeed> speeds, double initialMillisPerUnit) {
    double weights = 0;
    double sum = 0;
    for (UpstreamSpeed speed : speeds) {
      if (speed.isLearned()) {
        weights += speed.confidence();
        sum += speed.confidence() * speed.observedMillisPerUnit();
      }
    }
    if (weights == 0) {
      return new SpeedComparison(initialMillisPerUnit, false);
    }
    double mean = sum / weights;
    double fastest = Double.POSITIVE_INFINITY;
    double slowest = 0;
    for (UpstreamSpeed speed : speeds) {
      if (!speed.isComparable()) {
        continue;
      }
      double expected = speed.millisPerUnit(mean);
      double chance = CHANCE_ERRORS * speed.standardError();
      fastest = Math.min(fastest, expected + chance);
      slowest = Math.max(slowest, expected - chance);
    }
    return new SpeedComparison(mean, slowest > EQUAL_RATIO * fastest);
  }

  /** Returns the ratio of its time of a unit of work to the mean; one unless the speeds differ. */
  public double timeFactor(UpstreamSpeed speed) {
    return differs ? speed.millisPerUnit(meanMillisPerUnit) / meanMillisPerUnit : 1;
  }

  /** Returns the learned speed relative to the mean, whether or not the speeds differ. */
  public double relativeSpeed(UpstreamSpeed speed) {
    return meanMillisPerUnit / speed.millisPerUnit(meanMillisPerUnit);
  }
}
