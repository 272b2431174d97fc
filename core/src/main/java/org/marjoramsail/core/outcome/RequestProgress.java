package org.marjoramsail.core.outcome;

/** When a request last gave its caller a sign, how long it paused, and when it is silent. */
final class RequestProgress {

  private static final long NONE = Long.MIN_VALUE;
  private static final long NEVER = Long.MAX_VALUE;

  private long lastSignMillis;
  private long lastPieceMillis = NONE;
  private long longestPauseMillis;
  private long stallAtMillis = NEVER;
  private long askedMillis;
  private long answerMillis;

  /**
   * Starts with the arrival of the request.
   *
   * @param receivedAtMillis when that was
   */
  RequestProgress(long receivedAtMillis) {
    this.lastSignMillis = receivedAtMillis;
  }

  /** Records that another attempt begins to give pieces. */
  void began() {
    lastPieceMillis = NONE;
    longestPauseMillis = 0;
  }

  /** Records that the caller was given a piece. */
  void piece(long nowMillis) {
    if (lastPieceMillis != NONE) {
      longestPauseMillis = Math.max(longestPauseMillis, nowMillis - lastPieceMillis);
    }
    lastPieceMillis = nowMillis;
    lastSignMillis = nowMillis;
  }

  /** The longest pause between two pieces of this attempt; zero before the second. */
  long longestPauseMillis() {
    return longestPauseMillis;
  }

  /** Until when a caller waits that leaves after so long without a sign. */
  long patientUntilMillis(long patienceMillis) {
    return lastSignMillis + patienceMillis;
  }

  /** The attempt is silent unless it gives a sign until then. */
  void expectUntil(long atMillis) {
    stallAtMillis = atMillis;
  }

  /** Silence has no consequence from now on. */
  void expectNothing() {
    stallAtMillis = NEVER;
  }

  /** When the attempt is silent. */
  long stallAtMillis() {
    return stallAtMillis;
  }

  /** Records that a plain request is sent. */
  void asked(long nowMillis) {
    askedMillis = nowMillis;
    answerMillis = 0;
  }

  /** Records that a plain request is answered. */
  void answered(long nowMillis) {
    answerMillis = nowMillis - askedMillis;
  }

  /** How long the answer to a plain request took; zero if there is none. */
  long answerMillis() {
    return answerMillis;
  }
}
