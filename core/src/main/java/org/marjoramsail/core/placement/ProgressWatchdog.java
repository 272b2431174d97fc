package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/**
 * Tracks the requests whose first output from one upstream is pending: the end of a prefill or the
 * first chunk of a stream.
 *
 * <p>Guards against an upstream that stops responding without closing its connections. A request
 * that may run only once is never retried elsewhere, so its failure is reported only when its
 * caller disconnects, and until then every slot would fill with requests that are lost. An upstream
 * that makes progress on other requests is not considered unresponsive: it is full, and the request
 * waits there.
 */
final class ProgressWatchdog {

  /** The first output is overdue after this multiple of its expected time, plus the slack. */
  private static final int EXPECTED_TIME_FACTOR = 2;

  /** Additional time for messages and for waiting for a batch, in milliseconds. */
  private static final long SLACK_MILLIS = 300;

  private record Awaited(DaemonId entry, long sentAt, long dueAt) {}

  private final Map<RequestId, Awaited> awaited = new HashMap<>();
  private long progressAt = Long.MIN_VALUE;

  /** Records that a request was sent and when its first output is expected. */
  void awaitProgress(RequestId request, DaemonId entry, double expectedMillis, long nowMillis) {
    long dueAt = nowMillis + (long) (EXPECTED_TIME_FACTOR * expectedMillis) + SLACK_MILLIS;
    awaited.put(request, new Awaited(entry, nowMillis, dueAt));
  }

  /** Records that the upstream made progress on any request. */
  void progressMade(long nowMillis) {
    progressAt = nowMillis;
  }

  /** Stops tracking a request whose first output arrived or is no longer expected. */
  void stopAwaiting(RequestId request) {
    awaited.remove(request);
  }

  /**
   * Returns whether a first output is overdue and the upstream made no progress since that request
   * was sent.
   *
   * @param receivedAt when the last message of each entry daemon was received; a daemon that sends
   *     no messages cannot report progress, so its requests do not count after that time
   */
  boolean isOverdue(ToLongFunction<DaemonId> receivedAt) {
    return awaited.values().stream()
        .anyMatch(
            one -> one.sentAt() > progressAt && one.dueAt() <= receivedAt.applyAsLong(one.entry()));
  }
}
