package org.marjoramsail.core.placement;

import java.util.Arrays;

/**
 * How far the lengths of answers lie from what was foretold, as learned from those that ended.
 *
 * <p>Kept as some quantiles of the ratio of length to forecast, so that it needs no assumption of
 * how lengths are spread, and says how much a stream that has come so far will still grow.
 */
final class OutputLengthDistribution {

  /** What one answer will still grow by, in tokens. */
  record Remaining(double mean, double variance) {}

  /** Sixteen quantiles of the normal distribution; eight are enough to write them down. */
  private static final double[] UPPER_HALF = {
    0.0784, 0.2372, 0.4023, 0.5791, 0.7764, 1.0100, 1.3180, 1.8627
  };

  private static final int SAMPLES = 2 * UPPER_HALF.length;

  /** Before any answer: two thirds lie between 0.64 and 1.57 times the forecast. */
  private static final double INITIAL_DEVIATION = 0.45;

  /** How far one answer moves each quantile, in natural logarithms of the ratio. */
  private static final double STEP = 0.05;

  private static final double MINIMUM_RATIO = 0.001;

  /** A stream that has outgrown all that were seen grows by that share of what it has. */
  private static final double OUTGROWN_GROWTH_SHARE = 0.15;

  private final double[] logarithms = new double[SAMPLES];
  private final double[] ratios = new double[SAMPLES];

  private OutputLengthDistribution(double deviation) {
    for (int index = 0; index < UPPER_HALF.length; index++) {
      logarithms[UPPER_HALF.length + index] = deviation * UPPER_HALF[index];
      logarithms[UPPER_HALF.length - 1 - index] = -deviation * UPPER_HALF[index];
    }
    updateRatios();
  }

  /** A first guess. */
  static OutputLengthDistribution initialEstimate() {
    return new OutputLengthDistribution(INITIAL_DEVIATION);
  }

  /** Answers are as long as was foretold. */
  static OutputLengthDistribution exact() {
    return new OutputLengthDistribution(0);
  }

  /** Learns from an answer that came to its end. */
  void observe(double tokens, double predictedTokens) {
    double logarithm = Math.log(Math.max(MINIMUM_RATIO, tokens / predictedTokens));
    for (int index = 0; index < SAMPLES; index++) {
      double quantile = (index + 0.5) / SAMPLES;
      logarithms[index] += STEP * (logarithm < logarithms[index] ? quantile - 1 : quantile);
    }
    Arrays.sort(logarithms);
    updateRatios();
  }

  /** What an answer will still grow by, given that it has come so far. */
  Remaining remaining(double predictedTokens, double generatedTokens) {
    double sum = 0;
    double squares = 0;
    int longer = 0;
    for (double ratio : ratios) {
      double remaining = ratio * predictedTokens - generatedTokens;
      if (remaining > 0) {
        sum += remaining;
        squares += remaining * remaining;
        longer++;
      }
    }
    if (longer == 0) {
      return new Remaining(OUTGROWN_GROWTH_SHARE * Math.max(predictedTokens, generatedTokens), 0);
    }
    double mean = sum / longer;
    return new Remaining(mean, Math.max(0, squares / longer - mean * mean));
  }

  private void updateRatios() {
    for (int index = 0; index < SAMPLES; index++) {
      ratios[index] = Math.exp(logarithms[index]);
    }
  }
}
