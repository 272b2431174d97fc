package org.marjoramsail.core.placement;

import java.util.Optional;

/**
 * The upstreams with the lowest and the second lowest score of those added; ties keep the first.
 */
final class LowestScore {

  private UpstreamState best;
  private UpstreamState second;
  private double bestScore = Double.POSITIVE_INFINITY;
  private double secondScore = Double.POSITIVE_INFINITY;

  void add(UpstreamState upstream, double score) {
    if (score < bestScore) {
      second = best;
      secondScore = bestScore;
      best = upstream;
      bestScore = score;
    } else if (score < secondScore) {
      second = upstream;
      secondScore = score;
    }
  }

  /** Returns the upstream with the lowest score; null if none was added. */
  UpstreamState best() {
    return best;
  }

  /** Returns what was expected, if the scores are expected completion times. */
  GrantEstimate estimate(double costMillis) {
    return new GrantEstimate(
        Math.round(costMillis),
        Math.round(bestScore),
        Optional.ofNullable(second).map(UpstreamState::name),
        second == null ? 0 : Math.round(secondScore));
  }
}
