package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.core.model.Repeatability;

/**
 * Estimates how long the requests of a route run, from the recent ones: by their mean and mean
 * deviation, as RFC 6298 estimates round trips. Not thread-safe.
 */
public final class RunTimes {

  private static final double MEAN_WEIGHT = 0.125;
  private static final double DEVIATION_WEIGHT = 0.25;

  /** Deviations above the mean within which nearly all requests end. */
  private static final int MOST_DEVIATIONS = 4;

  /** The same for requests that another run serves if they do not end in time. */
  private static final int USUAL_DEVIATIONS = 2;

  private record Estimate(double meanMillis, double deviationMillis) {
    Estimate with(long tookMillis) {
      double error = tookMillis - meanMillis;
      return new Estimate(
          meanMillis + MEAN_WEIGHT * error,
          deviationMillis + DEVIATION_WEIGHT * (Math.abs(error) - deviationMillis));
    }
  }

  private final Map<String, Estimate> estimates = new HashMap<>();

  /** Creates an instance without any recorded requests. */
  public RunTimes() {}

  /** Updates the estimate of a route with the duration of a request that was served. */
  public void update(String route, long tookMillis) {
    Estimate known = estimates.get(route);
    estimates.put(
        route, known == null ? new Estimate(tookMillis, tookMillis / 2.0) : known.with(tookMillis));
  }

  /**
   * Returns the time within which a request of a route should end, in milliseconds; zero for a
   * route without recorded requests.
   */
  public long longestMillis(String route, Repeatability repeatability) {
    Estimate known = estimates.get(route);
    if (known == null) {
      return 0;
    }
    int deviations = repeatability.isResendable() ? USUAL_DEVIATIONS : MOST_DEVIATIONS;
    return Math.round(known.meanMillis() + deviations * known.deviationMillis());
  }
}
