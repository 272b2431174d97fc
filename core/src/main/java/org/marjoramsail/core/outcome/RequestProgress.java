package org.marjoramsail.core.outcome;

/**
 * Tracks when a request last made progress, its inter-chunk gaps and when its attempt has stalled.
 */
final class RequestProgress {

  private static final long NONE = Long.MIN_VALUE;
  private static final long NEVER = Long.MAX_VALUE;

  private final boolean resendable;
  private long lastProgressMillis;
  private long lastChunkMillis = NONE;
  private long longestGapMillis;
  private long stallAtMillis = NEVER;
  private long sentAtMillis;
  private long attemptSentAtMillis;
  private long responseMillis;

  /**
   * Starts with the arrival of the request.
   *
   * @param receivedAtMillis time of the arrival
   * @param resendable whether another attempt may follow a stalled one
   */
  RequestProgress(long receivedAtMillis, boolean resendable) {
    this.lastProgressMillis = receivedAtMillis;
    this.resendable = resendable;
  }

  /** Records that another attempt starts to send output. */
  void attemptStarted() {
    lastChunkMillis = NONE;
    longestGapMillis = 0;
  }

  /** Records that a chunk was sent to the caller. */
  void chunkSent(long nowMillis) {
    if (lastChunkMillis != NONE) {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastChunkMillis);
    }
    lastChunkMillis = nowMillis;
    lastProgressMillis = nowMillis;
  }

  /** Returns the longest gap between two chunks of this attempt; zero before the second chunk. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Returns until when a caller waits that disconnects after this time without progress. */
  long callerWaitsUntilMillis(long patienceMillis) {
    return lastProgressMillis + patienceMillis;
  }

  /** Sets the time at which the attempt counts as stalled unless it makes progress before. */
  void expectProgressUntil(long atMillis) {
    stallAtMillis = atMillis;
  }

  /** Limits the wait for progress from now on, but only where another attempt may follow. */
  void expectWithin(long millis, long nowMillis) {
    stallAtMillis = resendable ? nowMillis + millis : NEVER;
  }

  /** Lets the attempt wait without a limit. */
  void stopExpectingProgress() {
    stallAtMillis = NEVER;
  }

  /** Returns the time at which the attempt counts as stalled. */
  long stallAtMillis() {
    return stallAtMillis;
  }

  /** Records that the current attempt was sent to an upstream. */
  void attemptSent(long nowMillis) {
    attemptSentAtMillis = nowMillis;
  }

  /** Returns whether the current attempt was sent to its upstream at a time or later. */
  boolean wasSentSince(long millis) {
    return attemptSentAtMillis >= millis;
  }

  /** Records that a plain request was sent. */
  void requestSent(long nowMillis) {
    sentAtMillis = nowMillis;
    responseMillis = 0;
  }

  /** Returns when the plain request was sent. */
  long sentAtMillis() {
    return sentAtMillis;
  }

  /** Records that the response to a plain request was received. */
  void responseReceived(long nowMillis) {
    responseMillis = nowMillis - sentAtMillis;
  }

  /** Returns how long the response to a plain request took; zero if there is none. */
  long responseMillis() {
    return responseMillis;
  }
}
