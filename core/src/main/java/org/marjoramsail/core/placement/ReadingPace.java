package org.marjoramsail.core.placement;

/**
 * How fast the prefill upstreams of a shard read, as the first guess for an upstream that has not
 * read yet.
 *
 * <p>Decode upstreams read prompts only where that keeps the pauses of their answers short. A first
 * guess that had them read half as fast as they do kept them from ever reading, and so from ever
 * being seen to be faster, while prompts waited for seconds.
 */
final class ReadingPace {

  private final MovingAverage aloneMillisPerToken;
  private final double slowdown;

  /** Starts with the rates of the settings. */
  ReadingPace(PlacementSettings settings) {
    this.aloneMillisPerToken = new MovingAverage(1 / settings.prefillTokensPerMilli());
    this.slowdown = settings.localSlowdown();
  }

  /** Handles what a token took on a prefill upstream. */
  void learnAlone(double millisPerToken) {
    aloneMillisPerToken.observe(millisPerToken);
  }

  /** What a token is expected to take on a prefill upstream. */
  double aloneMillisPerToken() {
    return aloneMillisPerToken.value();
  }

  /** What a token is expected to take on a decode upstream, beside its answers. */
  double besideMillisPerToken() {
    return aloneMillisPerToken.value() * slowdown;
  }
}
