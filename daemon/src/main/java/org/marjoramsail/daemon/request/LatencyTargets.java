package org.marjoramsail.daemon.request;

import java.util.Optional;

/**
 * When an answer counts as in time.
 *
 * @param firstOutputMillis how long the first piece, or a whole plain answer, may take
 * @param maximumGapMillis how long the pause between two pieces may be
 */
public record LatencyTargets(long firstOutputMillis, long maximumGapMillis) {

  /** Where only the mean time between pieces counts. */
  public static final long NO_GAP_LIMIT = Long.MAX_VALUE;

  /** Why the answer of a request was late, if it was. */
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
