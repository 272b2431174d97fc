package org.marjoramsail.core.placement;

import java.util.Arrays;

/**
 * Distribution of output lengths relative to their predictions, learned from completed outputs.
 *
 * <p>It keeps quantiles of the ratio of actual to predicted length, assumes no particular
 * distribution, and estimates the remaining length of a stream from the tokens generated so far.
 */
final class OutputLengthDistribution {

  /** Expected remaining length of an output, in tokens. */
  record Remaining(double mean, double variance) {}

  /** The upper half of sixteen quantiles of the normal distribution; the lower half mirrors it. */
  private static final double[] UPPER_HALF = {
    0.0784, 0.2372, 0.4023, 0.5791, 0.7764, 1.0100, 1.3180, 1.8627
  };

  private static final int SAMPLES = 2 * UPPER_HALF.length;

  /** Standard deviation of the logarithm of the ratio before any output is observed. */
  private static final double INITIAL_DEVIATION = 0.45;

  /** How far one observation moves each quantile, in natural logarithms of the ratio. */
  private static final double STEP = 0.05;

  private static final double MINIMUM_RATIO = 0.001;

  /** Expected further growth of a stream that exceeds all quantiles, as a share of its length. */
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

  /** Creates a distribution with the default deviation, to be refined by observations. */
  static OutputLengthDistribution initialEstimate() {
    return new OutputLengthDistribution(INITIAL_DEVIATION);
  }

  /** Creates a distribution in which outputs have exactly the predicted length. */
  static OutputLengthDistribution exact() {
    return new OutputLengthDistribution(0);
  }

  /** Updates the quantiles from a completed output. */
  void observe(double tokens, double predictedTokens) {
    double logarithm = Math.log(Math.max(MINIMUM_RATIO, tokens / predictedTokens));
    for (int index = 0; index < SAMPLES; index++) {
      double quantile = (index + 0.5) / SAMPLES;
      logarithms[index] += STEP * (logarithm < logarithms[index] ? quantile - 1 : quantile);
    }
    Arrays.sort(logarithms);
    updateRatios();
  }

  /** Returns the expected remaining length of an output that has generated the given tokens. */
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
