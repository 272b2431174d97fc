package org.marjoramsail.core.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;

/** What the placer of one shard has learned from attempts that ended. */
final class PlacementEstimates {

  private static final int MAXIMUM_RULES = 256;
  private static final int MINIMUM_COMPLETED_REQUESTS = 12;
  private static final double INITIAL_OUTPUT_SHARE = 0.5;
  private static final double INITIAL_HOLD_MILLIS = 1_000;
  private static final double INITIAL_HELD_TOKENS = 1_000;
  private static final double INITIAL_PAUSE_SHARE = 0.8;
  private static final double MINIMUM_PAUSE_SHARE = 0.1;
  private static final double MAXIMUM_PAUSE_SHARE = 1.5;

  /**
   * How much of the longest pause between two pieces may be used up by what is foretold; the way of
   * a piece to its caller and errors of the forecast take the rest.
   */
  private static final double USABLE_PAUSE_SHARE = 0.85;

  private static final long MINIMUM_TRANSFER_BYTES = 1_000_000;

  private final Cache<String, MovingAverage> outputShares =
      Caffeine.newBuilder().maximumSize(MAXIMUM_RULES).executor(Runnable::run).build();
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

  /** Output tokens that a request will probably generate. */
  double outputTokens(PlacementRequest request) {
    return request.outputTokens() * outputShare(request.rule()).value();
  }

  /** How long a slot is held on average, in milliseconds. */
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

  /** How much memory of a decode upstream one request is given on average, in tokens. */
  double heldTokens() {
    return heldTokens.value();
  }

  /**
   * How long a generated answer takes on average, in milliseconds: as its tokens foretell, which
   * holds before there is any answer to learn from.
   */
  double generationMillis() {
    return (heldTokens() - promptTokens()) * decodeMillisPerToken();
  }

  /** How many generations were granted. */
  long grants() {
    return grants;
  }

  void learnHeldTokens(PlacementRequest request) {
    grants++;
    heldTokens.observe((double) request.memoryTokens());
    promptTokens.observe((double) request.promptTokens());
  }

  /** How long a prompt is on average, in tokens. */
  double promptTokens() {
    return promptTokens.value();
  }

  /**
   * Whether enough answers came for what was learned from them to decide by.
   *
   * <p>Before that the estimates are guesses: an owner that begins in a burst would refuse by them
   * what fits easily, so that few answers come to correct them.
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
      outputShare(request.rule()).observe((double) tokens / request.outputTokens());
      outputLengths.observe(tokens, request.outputTokens());
      decodeMillisPerToken.observe((double) generatingMillis / tokens);
    }
  }

  /** How long the tokens of one piece take, in milliseconds. */
  double chunkMillis(PlacementRequest request) {
    return request.pieces().tokens() * decodeMillisPerToken();
  }

  /**
   * How long a prompt may be read beside answers that may not pause for longer, in milliseconds.
   */
  double localPrefillMillisWithinPause(PlacementRequest request) {
    double longest = request.pieces().longestPauseMillis() * USABLE_PAUSE_SHARE;
    return (longest - chunkMillis(request)) / pauseShare.value();
  }

  /**
   * Learns from an answer how much of a reading beside it falls into one of its pauses.
   *
   * <p>An engine that reads in small parts between the tokens spreads a prompt over several pieces;
   * one that reads in large parts keeps a single piece waiting for all of it. A pause that is
   * longer than the reading explains has another cause.
   *
   * @param localPrefillMillis the longest reading beside it; zero where there was none
   */
  void learnPause(PlacementRequest request, long pauseMillis, double localPrefillMillis) {
    double share = (pauseMillis - chunkMillis(request)) / localPrefillMillis;
    if (localPrefillMillis > 0 && share <= MAXIMUM_PAUSE_SHARE) {
      pauseShare.observe(Math.max(MINIMUM_PAUSE_SHARE, share));
    }
  }

  /** How far lengths of answers lie from what was foretold. */
  OutputLengthDistribution outputLengths() {
    return outputLengths;
  }

  private MovingAverage outputShare(String rule) {
    return outputShares.get(rule, name -> new MovingAverage(INITIAL_OUTPUT_SHARE));
  }
}
