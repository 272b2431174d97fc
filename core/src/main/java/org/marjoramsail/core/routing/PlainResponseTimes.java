package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * Moving average of the recent response times of each plain service.
 *
 * <p>Guards against a retry storm: when a service has lost servers and the others respond slowly,
 * abandoning requests after a fixed time and retrying them elsewhere discards work that is nearly
 * done, so that no repeatable request ever completes. The average includes all requests of a
 * service, also those that are never abandoned. Not thread-safe.
 */
public final class PlainResponseTimes {

  /** Weight of the latest response in the moving average. */
  private static final double SMOOTHING_FACTOR = 0.1;

  /** A response is overdue after this multiple of the mean response time. */
  private static final int OVERDUE_FACTOR = 3;

  private final Map<String, Double> meanMillis = new HashMap<>();

  /** Creates an instance without any recorded responses. */
  public PlainResponseTimes() {}

  /** Updates the mean of a service with the duration of a response. */
  public void update(String service, long tookMillis) {
    meanMillis.merge(
        service, (double) tookMillis, (mean, took) -> mean + SMOOTHING_FACTOR * (took - mean));
  }

  /**
   * Returns the time after which a response of a service is overdue, in milliseconds; zero for a
   * service without recorded responses.
   */
  public long overdueMillis(String service) {
    return Math.round(OVERDUE_FACTOR * meanMillis.getOrDefault(service, 0.0));
  }
}
