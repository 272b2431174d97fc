package org.marjoramsail.daemon.request;

import java.util.Optional;

/**
 * Latency targets of a request.
 *
 * @param firstOutputMillis maximum time until the first chunk, or until a whole plain response
 * @param maximumGapMillis maximum time between two chunks
 */
public record LatencyTargets(long firstOutputMillis, long maximumGapMillis) {

  /** Value of {@code maximumGapMillis} for requests with a target for the mean gap only. */
  public static final long NO_GAP_LIMIT = Long.MAX_VALUE;

  /** Returns the first target that an ended request missed, if any. */
  Optional<LatencyViolation> violationOf(RequestSnapshot ended) {
    if (ended.firstOutputMillis() > firstOutputMillis) {
      return Optional.of(LatencyViolation.FIRST_SIGN);
    }
    return ended
        .longestGap()
        .filter(gap -> gap.millis() > maximumGapMillis)
        .map(gap -> LatencyViolation.PAUSE);
  }
}
