package org.marjoramsail.daemon.upstream;

/**
 * Limits on connections to upstreams and on their responses.
 *
 * @param maximumConnections maximum number of connections to one upstream
 * @param connectTimeoutMillis timeout for opening a connection
 * @param controlTimeoutMillis timeout of status calls, cancels and listings
 * @param maximumLineBytes maximum size of a frame of a stream
 * @param maximumResponseBytes maximum size of a response body that is not streamed
 */
public record UpstreamLimits(
    int maximumConnections,
    int connectTimeoutMillis,
    long controlTimeoutMillis,
    int maximumLineBytes,
    int maximumResponseBytes) {

  /** Returns the default limits. */
  public static UpstreamLimits defaults() {
    return new UpstreamLimits(256, 500, 1_000, 64 * 1024, 8 * 1024 * 1024);
  }
}
