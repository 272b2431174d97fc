package org.marjoramsail.daemon.request;

import java.util.Optional;

/**
 * When an answer counts as in time.
 *
 * @param firstSignMillis how long the first piece, or a whole plain answer, may take
 * @param longestPauseMillis how long the pause between two pieces may be
 */
public record LatencyTargets(long firstSignMillis, long longestPauseMillis) {

  /** Where only the mean time between pieces counts. */
  public static final long ANY_PAUSE = Long.MAX_VALUE;

  /** Why the answer of a request was late, if it was. */
  Optional<LatencyViolation> latenessOf(RequestView ended) {
    if (ended.firstSignMillis() > firstSignMillis) {
      return Optional.of(LatencyViolation.FIRST_SIGN);
    }
    return ended
        .longestPause()
        .filter(pause -> pause.millis() > longestPauseMillis)
        .map(pause -> LatencyViolation.PAUSE);
  }
}
