package org.marjoramsail.daemon.settings;

/**
 * What the daemon takes on at most.
 *
 * @param bodyBytes the longest body of a caller's request
 * @param headerBytes the longest headers of a caller's request
 * @param connections how many connections of callers are open at once
 * @param callerIdleMillis how long a caller may send or take nothing, in milliseconds
 * @param threads how many event loop threads run
 * @param queueLength how many requests wait in one shard
 * @param leaveMillis how long a stopping daemon waits until the balancer sends nothing more, in
 *     milliseconds
 * @param stopMillis how long a stopping daemon lets running requests end after that, in
 *     milliseconds
 */
public record LimitSettings(
    long bodyBytes,
    int headerBytes,
    int connections,
    long callerIdleMillis,
    int threads,
    int queueLength,
    long leaveMillis,
    long stopMillis) {

  private static final long BODY_BYTES = 4L << 20;
  private static final int HEADER_BYTES = 16 << 10;
  private static final int CONNECTIONS = 10_000;
  private static final long CALLER_IDLE_MILLIS = 30_000;
  private static final int THREADS = 2;
  private static final int QUEUE_LENGTH = 10_000;
  private static final long LEAVE_MILLIS = 5_000;
  private static final long STOP_MILLIS = 600_000;

  /** The limits of a daemon whose settings name none. */
  public static final LimitSettings DEFAULT =
      new LimitSettings(
          BODY_BYTES,
          HEADER_BYTES,
          CONNECTIONS,
          CALLER_IDLE_MILLIS,
          THREADS,
          QUEUE_LENGTH,
          LEAVE_MILLIS,
          STOP_MILLIS);
}
