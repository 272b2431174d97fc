package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Predicts the number of tokens that a request will generate, from the caller's estimate and the
 * mean output length of its route.
 *
 * <p>Callers' estimates have a correct median and a large variance; blending them with the mean of
 * the route reduces the variance. Not thread-safe.
 */
public final class OutputForecast {

  /** Weight of the latest output in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** Weight of the caller's estimate; the rest is the weight of the mean of the route. */
  private static final double CALLER_SHARE = 0.4;

  /** Initial mean of a route, as a share of the maximum output length. */
  private static final double INITIAL_SHARE = 0.45;

  private final Map<String, Double> meanTokens = new HashMap<>();

  /** Creates a forecast without any recorded outputs. */
  public OutputForecast() {}

  /**
   * Returns the predicted output length in tokens.
   *
   * @param route the name of the route
   * @param maximumTokens the maximum output length of the request
   * @param expected the caller's estimate
   */
  public int expectedTokens(String route, int maximumTokens, OptionalInt expected) {
    double mean = meanTokens.getOrDefault(route, maximumTokens * INITIAL_SHARE);
    double estimate =
        expected.isPresent()
            ? CALLER_SHARE * expected.getAsInt() + (1 - CALLER_SHARE) * mean
            : mean;
    return (int) Math.max(1, Math.min(maximumTokens, Math.round(estimate)));
  }

  /** Updates the mean of a route with the length of a complete output. */
  public void update(String route, int maximumTokens, int tokens) {
    double mean = meanTokens.getOrDefault(route, maximumTokens * INITIAL_SHARE);
    meanTokens.put(route, mean + SMOOTHING_FACTOR * (tokens - mean));
  }
}
