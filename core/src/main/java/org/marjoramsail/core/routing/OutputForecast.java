package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalInt;

/**
 * Foretells how many tokens a request will generate, from what its caller expects and from what
 * requests of its route came to.
 *
 * <p>Callers' estimates are right at the median and often far off, so the mean of the route pulls
 * them together. Not safe for several threads.
 */
public final class OutputForecast {

  /** How much of the difference each answer corrects. */
  private static final double SMOOTHING_FACTOR = 0.05;

  /** How much the caller's own estimate counts against the mean of the route. */
  private static final double CALLER_SHARE = 0.4;

  /** Where nothing is known, this share of the most that may be generated. */
  private static final double INITIAL_SHARE = 0.45;

  private final Map<String, Double> meanTokens = new HashMap<>();

  /** Starts with nothing learned. */
  public OutputForecast() {}

  /**
   * How many tokens to expect.
   *
   * @param route the name of the route
   * @param maximumTokens how many it generates at most
   * @param expected what the caller expects
   */
  public int expectedTokens(String route, int maximumTokens, OptionalInt expected) {
    double mean = meanTokens.getOrDefault(route, maximumTokens * INITIAL_SHARE);
    double estimate =
        expected.isPresent()
            ? CALLER_SHARE * expected.getAsInt() + (1 - CALLER_SHARE) * mean
            : mean;
    return (int) Math.max(1, Math.min(maximumTokens, Math.round(estimate)));
  }

  /** Learns from an answer that came to its end. */
  public void update(String route, int maximumTokens, int tokens) {
    double mean = meanTokens.getOrDefault(route, maximumTokens * INITIAL_SHARE);
    meanTokens.put(route, mean + SMOOTHING_FACTOR * (tokens - mean));
  }
}
