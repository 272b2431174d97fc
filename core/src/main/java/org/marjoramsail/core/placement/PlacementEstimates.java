package org.marjoramsail.core.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.marjoramsail.core.cost.RouteCosts;

/** Estimates of the placer of one shard, learned from attempts that ended. */
final class PlacementEstimates {

  private static final int MAXIMUM_RULES = 256;
  private static final int MINIMUM_COMPLETED_REQUESTS = 12;
  private static final double INITIAL_OUTPUT_SHARE = 0.5;
  private static final double INITIAL_HOLD_MILLIS = 1_000;
  private static final double INITIAL_PLAIN_MILLIS = 50;
  private static final double INITIAL_HELD_TOKENS = 1_000;
  private static final double INITIAL_PAUSE_SHARE = 0.8;
  private static final double MINIMUM_PAUSE_SHARE = 0.1;
  private static final double MAXIMUM_PAUSE_SHARE = 1.5;

  /**
   * Share of the longest allowed pause between two chunks that a local prefill may use; the rest
   * covers the transport of a chunk and prediction errors.
   */
  private static final double USABLE_PAUSE_SHARE = 0.85;

  private static final long MINIMUM_TRANSFER_BYTES = 1_000_000;

  private final Cache<String, MovingAverage> outputShares =
      Caffeine.newBuilder().maximumSize(MAXIMUM_RULES).executor(Runnable::run).build();
  private final RouteCosts plainMillis = new RouteCosts(INITIAL_PLAIN_MILLIS);
  private final RouteCosts outputShareBySize = new RouteCosts(INITIAL_OUTPUT_SHARE);
  private final OutputLengthDistribution outputLengths = OutputLengthDistribution.initialEstimate();
  private final MovingAverage decodeMillisPerToken;
  private final MovingAverage holdMillis = new MovingAverage(INITIAL_HOLD_MILLIS);
  private final MovingAverage heldTokens = new MovingAverage(INITIAL_HELD_TOKENS);
  private final MovingAverage promptTokens = new MovingAverage(INITIAL_HELD_TOKENS);
  private final MovingAverage linkBytesPerMilli;
  private final MovingAverage pauseShare = new MovingAverage(INITIAL_PAUSE_SHARE);

  private long completedRequests;
  private long grants;

  PlacementEstimates(PlacementSettings settings) {
    this.decodeMillisPerToken = new MovingAverage(settings.decodeMillisPerToken());
    this.linkBytesPerMilli = new MovingAverage(settings.linkBytesPerMilli());
  }

  /** Returns the expected number of output tokens of a request. */
  double outputTokens(PlacementRequest request) {
    return request.outputTokens() * outputShare(request.rule()).value();
  }

  /**
   * Returns the expected work of a request on its target if that has the mean speed, in
   * milliseconds.
   */
  double costMillis(PlacementRequest request) {
    return request.isGeneration()
        ? request.outputTokens()
            * outputShareBySize.mean(request.rule(), request.outputTokens())
            * decodeMillisPerToken()
        : plainMillis.mean(request.rule(), 0);
  }

  /** Returns the mean work of plain requests, in milliseconds. */
  double plainMillis() {
    return plainMillis.overall();
  }

  /** Updates the cost of plain requests from a completed one, at the mean speed. */
  void learnPlainCost(PlacementRequest request, double millis) {
    plainMillis.observe(request.rule(), 0, millis);
  }

  /** Returns how long a slot is held on average, in milliseconds. */
  double holdMillis() {
    return holdMillis.value();
  }

  double linkBytesPerMilli() {
    return linkBytesPerMilli.value();
  }

  double decodeMillisPerToken() {
    return decodeMillisPerToken.value();
  }

  void learnTransfer(long bytes, long tookMillis) {
    if (bytes >= MINIMUM_TRANSFER_BYTES && tookMillis > 0) {
      linkBytesPerMilli.observe((double) bytes / tookMillis);
    }
  }

  /** Returns the average memory of a request on a decode upstream, in tokens. */
  double heldTokens() {
    return heldTokens.value();
  }

  /**
   * Returns the average generation time in milliseconds, as predicted from the tokens, so that it
   * is available before any output completed.
   */
  double generationMillis() {
    return (heldTokens() - promptTokens()) * decodeMillisPerToken();
  }

  /** Returns how many generations were granted. */
  long grants() {
    return grants;
  }

  void learnHeldTokens(PlacementRequest request) {
    grants++;
    heldTokens.observe((double) request.memoryTokens());
    promptTokens.observe((double) request.promptTokens());
  }

  /** Returns the average length of a prompt, in tokens. */
  double promptTokens() {
    return promptTokens.value();
  }

  /**
   * Returns whether enough requests completed for decisions to rely on the estimates.
   *
   * <p>Before that, refusing requests by initial estimates could reject what fits, and few
   * completions would correct the estimates.
   */
  boolean hasEnoughSamples() {
    return completedRequests >= MINIMUM_COMPLETED_REQUESTS;
  }

  void learnHold(long heldMillis) {
    completedRequests++;
    holdMillis.observe((double) heldMillis);
  }

  void learnOutput(PlacementRequest request, int tokens, long generatingMillis) {
    if (request.isGeneration() && tokens > 0) {
      double share = (double) tokens / request.outputTokens();
      outputShare(request.rule()).observe(share);
      outputShareBySize.observe(request.rule(), request.outputTokens(), share);
      outputLengths.observe(tokens, request.outputTokens());
      decodeMillisPerToken.observe((double) generatingMillis / tokens);
    }
  }

  /** Returns the generation time of one chunk, in milliseconds. */
  double chunkMillis(PlacementRequest request) {
    return request.chunking().tokens() * decodeMillisPerToken();
  }

  /**
   * Returns how long a prefill may run concurrently with streams that allow only the given pause,
   * in milliseconds.
   */
  double localPrefillMillisWithinPause(PlacementRequest request) {
    double longest = request.chunking().longestPauseMillis() * USABLE_PAUSE_SHARE;
    return (longest - chunkMillis(request)) / pauseShare.value();
  }

  /**
   * Updates the share of a local prefill that falls into one pause of a concurrent stream.
   *
   * <p>An engine that prefills in small chunks between output tokens spreads a prompt over several
   * pauses; one that prefills in large chunks delays a single output chunk for all of it. A pause
   * that is too long to be caused by the prefill is ignored.
   *
   * @param localPrefillMillis the longest prefill concurrent with the stream; zero if there was
   *     none
   */
  void learnPause(PlacementRequest request, long pauseMillis, double localPrefillMillis) {
    double share = (pauseMillis - chunkMillis(request)) / localPrefillMillis;
    if (localPrefillMillis > 0 && share <= MAXIMUM_PAUSE_SHARE) {
      pauseShare.observe(Math.max(MINIMUM_PAUSE_SHARE, share));
    }
  }

  /** Returns the distribution of output lengths relative to their predictions. */
  OutputLengthDistribution outputLengths() {
    return outputLengths;
  }

  private MovingAverage outputShare(String rule) {
    return outputShares.get(rule, name -> new MovingAverage(INITIAL_OUTPUT_SHARE));
  }
}
