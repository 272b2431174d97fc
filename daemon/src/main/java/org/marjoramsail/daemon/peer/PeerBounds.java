package org.marjoramsail.daemon.peer;

/**
 * What one daemon spends at most on its connections to others.
 *
 * @param maximumFrameBytes the largest body of a frame, in bytes
 * @param maximumInboundConnections connections accepted from others at one time
 * @param maximumQueuedBytes bytes that wait for one daemon; what is beyond is dropped
 * @param maximumBatchBytes bytes of small frames that are written at once
 * @param handshakeTimeoutMillis how long a connection may stay unproven, in milliseconds
 * @param connectTimeoutMillis how long connecting may take, in milliseconds
 * @param firstBackoffMillis the longest wait after one failed connect, in milliseconds
 * @param longestBackoffMillis the longest wait after many failed connects, in milliseconds
 * @param idleTimeoutSeconds how long a connection without a frame is kept, in seconds
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

  /** Bounds that fit a fleet of some hundred daemons. */
  public static PeerBounds defaults() {
    return new PeerBounds(
        MEBIBYTE, 1024, 4 * MEBIBYTE, 64 * KIBIBYTE, 2_000, 1_000, 100, 2_000, 300);
  }
}
