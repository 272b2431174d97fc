package org.marjoramsail.daemon.upstream;

/**
 * Bounds of what this daemon sends to and takes from upstreams.
 *
 * @param maximumConnections connections to one upstream
 * @param connectTimeoutMillis how long a connection may take to come about
 * @param controlTimeoutMillis how long status calls, cancels and listings may take
 * @param maximumLineBytes the longest frame of a stream
 * @param maximumResponseBytes the longest answer of a plain service
 */
public record UpstreamLimits(
    int maximumConnections,
    int connectTimeoutMillis,
    long controlTimeoutMillis,
    int maximumLineBytes,
    int maximumResponseBytes) {

  /** The bounds that daemons use where their settings say nothing else. */
  public static UpstreamLimits defaults() {
    return new UpstreamLimits(256, 500, 1_000, 64 * 1024, 8 * 1024 * 1024);
  }
}
