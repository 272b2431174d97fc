package org.marjoramsail.core.outcome;

/** When a request last gave its caller a sign, how long it paused, and when it is silent. */
final class RequestProgress {

  private static final long NONE = Long.MIN_VALUE;
  private static final long NEVER = Long.MAX_VALUE;

  private long lastProgressMillis;
  private long lastChunkMillis = NONE;
  private long longestGapMillis;
  private long stallAtMillis = NEVER;
  private long sentAtMillis;
  private long responseMillis;

  /**
   * Starts with the arrival of the request.
   *
   * @param receivedAtMillis when that was
   */
  RequestProgress(long receivedAtMillis) {
    this.lastProgressMillis = receivedAtMillis;
  }

  /** Records that another attempt begins to give pieces. */
  void attemptStarted() {
    lastChunkMillis = NONE;
    longestGapMillis = 0;
  }

  /** Records that the caller was given a piece. */
  void chunkSent(long nowMillis) {
    if (lastChunkMillis != NONE) {
      longestGapMillis = Math.max(longestGapMillis, nowMillis - lastChunkMillis);
    }
    lastChunkMillis = nowMillis;
    lastProgressMillis = nowMillis;
  }

  /** The longest pause between two pieces of this attempt; zero before the second. */
  long longestGapMillis() {
    return longestGapMillis;
  }

  /** Until when a caller waits that leaves after so long without a sign. */
  long callerWaitsUntilMillis(long patienceMillis) {
    return lastProgressMillis + patienceMillis;
  }

  /** The attempt is silent unless it gives a sign until then. */
  void expectProgressUntil(long atMillis) {
    stallAtMillis = atMillis;
  }

  /** Silence has no consequence from now on. */
  void stopExpectingProgress() {
    stallAtMillis = NEVER;
  }

  /** When the attempt is silent. */
  long stallAtMillis() {
    return stallAtMillis;
  }

  /** Records that a plain request is sent. */
  void requestSent(long nowMillis) {
    sentAtMillis = nowMillis;
    responseMillis = 0;
  }

  /** Records that a plain request is answered. */
  void responseReceived(long nowMillis) {
    responseMillis = nowMillis - sentAtMillis;
  }

  /** How long the answer to a plain request took; zero if there is none. */
  long responseMillis() {
    return responseMillis;
  }
}
