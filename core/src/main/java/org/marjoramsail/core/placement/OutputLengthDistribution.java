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
  record Left(double mean, double variance) {}

  /** Sixteen quantiles of the normal distribution; eight are enough to write them down. */
  private static final double[] UPPER_HALF = {
    0.0784, 0.2372, 0.4023, 0.5791, 0.7764, 1.0100, 1.3180, 1.8627
  };

  private static final int SAMPLES = 2 * UPPER_HALF.length;

  /** Before any answer: two thirds lie between 0.64 and 1.57 times the forecast. */
  private static final double FIRST_DEVIATION = 0.45;

  /** How far one answer moves each quantile, in natural logarithms of the ratio. */
  private static final double STEP = 0.05;

  private static final double LEAST_RATIO = 0.001;

  /** A stream that has outgrown all that were seen grows by that share of what it has. */
  private static final double OUTGROWN_SHARE = 0.15;

  private final double[] logarithms = new double[SAMPLES];
  private final double[] ratios = new double[SAMPLES];

  private OutputLengthDistribution(double deviation) {
    for (int place = 0; place < UPPER_HALF.length; place++) {
      logarithms[UPPER_HALF.length + place] = deviation * UPPER_HALF[place];
      logarithms[UPPER_HALF.length - 1 - place] = -deviation * UPPER_HALF[place];
    }
    takeRatios();
  }

  /** A first guess. */
  static OutputLengthDistribution guessed() {
    return new OutputLengthDistribution(FIRST_DEVIATION);
  }

  /** Answers are as long as was foretold. */
  static OutputLengthDistribution exact() {
    return new OutputLengthDistribution(0);
  }

  /** Learns from an answer that came to its end. */
  void observe(double tokens, double foretoldTokens) {
    double logarithm = Math.log(Math.max(LEAST_RATIO, tokens / foretoldTokens));
    for (int place = 0; place < SAMPLES; place++) {
      double below = (place + 0.5) / SAMPLES;
      logarithms[place] += STEP * (logarithm < logarithms[place] ? below - 1 : below);
    }
    Arrays.sort(logarithms);
    takeRatios();
  }

  /** What an answer will still grow by, given that it has come so far. */
  Left leftOf(double foretoldTokens, double generatedTokens) {
    double sum = 0;
    double squares = 0;
    int longer = 0;
    for (double ratio : ratios) {
      double left = ratio * foretoldTokens - generatedTokens;
      if (left > 0) {
        sum += left;
        squares += left * left;
        longer++;
      }
    }
    if (longer == 0) {
      return new Left(OUTGROWN_SHARE * Math.max(foretoldTokens, generatedTokens), 0);
    }
    double mean = sum / longer;
    return new Left(mean, Math.max(0, squares / longer - mean * mean));
  }

  private void takeRatios() {
    for (int place = 0; place < SAMPLES; place++) {
      ratios[place] = Math.exp(logarithms[place]);
    }
  }
}
