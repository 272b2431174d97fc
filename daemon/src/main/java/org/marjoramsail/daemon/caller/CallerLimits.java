package org.marjoramsail.daemon.caller;

/**
 * Bounds of what one caller, and all together, may cost this daemon.
 *
 * @param maximumConnections connections that are served at once; more get a typed refusal
 * @param maximumHeaderBytes all headers of a request together
 * @param maximumBodyBytes the body of a request
 * @param headerTimeoutMillis how long a connection may stay open without a whole request head
 * @param bodyTimeoutMillis how long a body may take to arrive
 * @param maximumBufferedBytes how much of an answer waits for a slow reader
 * @param slowReaderMillis how long a reader may take nothing while its buffer is full
 * @param maximumOutputTokens the most that a request may ask for
 * @param defaultOutputTokens what a request gets that does not say
 */
public record CallerLimits(
    int maximumConnections,
    int maximumHeaderBytes,
    int maximumBodyBytes,
    long headerTimeoutMillis,
    long bodyTimeoutMillis,
    long maximumBufferedBytes,
    long slowReaderMillis,
    int maximumOutputTokens,
    int defaultOutputTokens) {

  /** The bounds that daemons use where their settings say nothing else. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        10_000, 16 * 1024, 1024 * 1024, 10_000, 20_000, 256 * 1024, 10_000, 8_192, 256);
  }
}
