package org.marjoramsail.core.placement;

/**
 * How fast the prefill upstreams of a shard are, as the first guess for an upstream that has done
 * no prefill yet.
 *
 * <p>Decode upstreams take a prefill only where that keeps the pauses of their streams short. A
 * first guess of half their rate kept them from ever taking one, and so from ever being seen to be
 * faster, while prompts waited for seconds.
 */
final class PrefillRate {

  private final MovingAverage dedicatedMillisPerToken;
  private final double localPrefillSlowdown;

  /** Starts with the rates of the settings. */
  PrefillRate(PlacementSettings settings) {
    this.dedicatedMillisPerToken = new MovingAverage(1 / settings.prefillTokensPerMilli());
    this.localPrefillSlowdown = settings.localPrefillSlowdown();
  }

  /** Handles what a token took on a prefill upstream. */
  void learn(double millisPerToken) {
    dedicatedMillisPerToken.observe(millisPerToken);
  }

  /** What a token is expected to take on a prefill upstream. */
  double dedicatedMillisPerToken() {
    return dedicatedMillisPerToken.value();
  }

  /** What a token is expected to take on a decode upstream, beside its answers. */
  double localMillisPerToken() {
    return dedicatedMillisPerToken.value() * localPrefillSlowdown;
  }
}
