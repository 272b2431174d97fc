package org.marjoramsail.daemon.peer;

/**
 * Limits of the connections between a daemon and its peers.
 *
 * @param maximumFrameBytes the maximum size of the body of a frame, in bytes
 * @param maximumInboundConnections the maximum number of accepted connections that are open
 * @param maximumQueuedBytes the maximum size of the queue for one peer, in bytes; further messages
 *     are dropped
 * @param maximumBatchBytes the size at which a batch of frames is written, in bytes
 * @param handshakeTimeoutMillis the timeout of the handshake, in milliseconds
 * @param connectTimeoutMillis the timeout of a connection attempt, in milliseconds
 * @param firstBackoffMillis the maximum back-off after one failed connection attempt, in
 *     milliseconds
 * @param longestBackoffMillis the maximum back-off after repeated failures, in milliseconds
 * @param idleTimeoutSeconds the time after which an idle connection is closed, in seconds
 */
public record PeerBounds(
    int maximumFrameBytes,
    int maximumInboundConnections,
    int maximumQueuedBytes,
    int maximumBatchBytes,
    long handshakeTimeoutMillis,
    int connectTimeoutMillis,
    long firstBackoffMillis,
    long longestBackoffMillis,
    int idleTimeoutSeconds) {

  private static final int KIBIBYTE = 1024;
  private static final int MEBIBYTE = 1024 * KIBIBYTE;

  /** Returns limits for a fleet of a few hundred daemons. */
  public static PeerBounds defaults() {
    return new PeerBounds(
        MEBIBYTE, 1024, 4 * MEBIBYTE, 64 * KIBIBYTE, 2_000, 1_000, 100, 2_000, 300);
  }
}
