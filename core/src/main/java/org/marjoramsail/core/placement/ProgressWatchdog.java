package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/**
 * The requests of which one upstream has yet to give the first sign: a prompt that is read, or a
 * first piece.
 *
 * <p>Guards against an upstream that has fallen silent without closing a connection. A request that
 * may run only once is never taken away from it, so no failure is reported until its caller leaves
 * seconds later, and until then every slot of the upstream would be filled with requests that are
 * lost. A first sign is due long before that. One that gives signs of other requests meanwhile is
 * not silent: it is full, and the request waits there.
 */
final class ProgressWatchdog {

  /** How many times the expected time a first sign may take. */
  private static final int EXPECTED_TIME_FACTOR = 2;

  /** What a first sign may take beyond that, in milliseconds: messages and a place in a batch. */
  private static final long SLACK_MILLIS = 300;

  private record Awaited(DaemonId entry, long sentAt, long dueAt) {}

  private final Map<RequestId, Awaited> awaited = new HashMap<>();
  private long progressAt = Long.MIN_VALUE;

  /** Records that a request was sent, and when its first sign is expected. */
  void awaitProgress(RequestId request, DaemonId entry, double expectedMillis, long nowMillis) {
    long dueAt = nowMillis + (long) (EXPECTED_TIME_FACTOR * expectedMillis) + SLACK_MILLIS;
    awaited.put(request, new Awaited(entry, nowMillis, dueAt));
  }

  /** Records that the upstream gave a sign, of whichever request. */
  void progressMade(long nowMillis) {
    progressAt = nowMillis;
  }

  /** Records that the sign of a request came, or that nobody waits for it any more. */
  void stopAwaiting(RequestId request) {
    awaited.remove(request);
  }

  /**
   * Whether a sign is overdue that would have been told by now, and no other came since.
   *
   * @param receivedAt when each entry daemon was last heard of: one that cannot be heard of says
   *     nothing about upstreams
   */
  boolean isOverdue(ToLongFunction<DaemonId> receivedAt) {
    return awaited.values().stream()
        .anyMatch(
            one -> one.sentAt() > progressAt && one.dueAt() <= receivedAt.applyAsLong(one.entry()));
  }
}
