package org.marjoramsail.core.placement;

/**
 * Average prefill rate of the prefill upstreams of a shard, used as the initial estimate for an
 * upstream that has run no prefill yet.
 *
 * <p>Decode upstreams prefill a prompt only if the resulting pause of their streams is short. An
 * initial estimate that is too slow would keep them from ever running a prefill, and so from
 * correcting the estimate.
 */
final class PrefillRate {

  private final MovingAverage dedicatedMillisPerToken;
  private final double localPrefillSlowdown;

  /** Creates a rate with the initial values of the settings. */
  PrefillRate(PlacementSettings settings) {
    this.dedicatedMillisPerToken = new MovingAverage(1 / settings.prefillTokensPerMilli());
    this.localPrefillSlowdown = settings.localPrefillSlowdown();
  }

  /** Adds the observed time of a token on a prefill upstream. */
  void learn(double millisPerToken) {
    dedicatedMillisPerToken.observe(millisPerToken);
  }

  /** Returns the expected time of a token on a prefill upstream, in milliseconds. */
  double dedicatedMillisPerToken() {
    return dedicatedMillisPerToken.value();
  }

  /** Returns the expected time of a token on a decode upstream that generates concurrently. */
  double localMillisPerToken() {
    return dedicatedMillisPerToken.value() * localPrefillSlowdown;
  }
}
