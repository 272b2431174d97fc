package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.Map;

/**
 * How long plain answers of each service take of late.
 *
 * <p>Guards against an overload that feeds itself: when a service has lost servers and the rest
 * answer slowly, giving up answers after a fixed time and asking again elsewhere throws away work
 * that was nearly done, and none of the requests that may be repeated is ever answered. Learned
 * from all requests of a service, also those that are never given up. Not safe for several threads.
 */
public final class PlainResponseTimes {

  private static final double SMOOTHING_FACTOR = 0.1;

  /** An answer is overdue after so many times the mean. */
  private static final int OVERDUE_FACTOR = 3;

  private final Map<String, Double> meanMillis = new HashMap<>();

  /** Starts with nothing learned. */
  public PlainResponseTimes() {}

  /** Learns from an answer. */
  public void update(String service, long tookMillis) {
    meanMillis.merge(
        service, (double) tookMillis, (mean, took) -> mean + SMOOTHING_FACTOR * (took - mean));
  }

  /** After how long an answer of a service is overdue, in milliseconds; zero if unknown. */
  public long overdueMillis(String service) {
    return Math.round(OVERDUE_FACTOR * meanMillis.getOrDefault(service, 0.0));
  }
}
