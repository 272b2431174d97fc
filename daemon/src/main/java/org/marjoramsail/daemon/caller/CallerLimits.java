package org.marjoramsail.daemon.caller;

/**
 * Limits on the resources that callers may use.
 *
 * @param maximumConnections open connections in total; further ones receive a typed refusal
 * @param maximumHeaderBytes size of all headers of a request
 * @param maximumBodyBytes size of the body of a request
 * @param headerTimeoutMillis how long a connection may stay open without a complete request head
 * @param bodyTimeoutMillis how long a body may take to arrive
 * @param maximumBufferedBytes size of the output that is buffered for a slow reader
 * @param slowReaderMillis how long a reader may read nothing while its buffer is full
 * @param maximumOutputTokens maximum number of output tokens that a request may ask for
 * @param defaultOutputTokens maximum number of output tokens of a request that gives none
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

  /** Returns the limits that apply if the settings give none. */
  public static CallerLimits defaults() {
    return new CallerLimits(
        10_000, 16 * 1024, 1024 * 1024, 10_000, 20_000, 256 * 1024, 10_000, 8_192, 256);
  }
}
