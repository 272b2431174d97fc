package org.marjoramsail.core.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/**
 * Keeps for some seconds which attempts have ended and which daemons have failed.
 *
 * <p>Entry daemons repeat messages that may be lost, so a message can arrive after its attempt has
 * ended. Guards against such a message reserving slots that nobody releases.
 */
final class AttemptTombstones {

  private static final int MAXIMUM_REQUESTS = 4_096;
  private static final int MAXIMUM_DAEMONS = 256;
  private static final long RETENTION_MILLIS = 5_000;

  private final Cache<RequestId, Ended> ended =
      Caffeine.newBuilder().maximumSize(MAXIMUM_REQUESTS).executor(Runnable::run).build();
  private final Cache<DaemonId, Long> failedDaemons =
      Caffeine.newBuilder().maximumSize(MAXIMUM_DAEMONS).executor(Runnable::run).build();

  void ended(RequestId request, int attempt, long nowMillis) {
    ended.put(request, new Ended(attempt, nowMillis + RETENTION_MILLIS));
  }

  void daemonFailed(DaemonId daemon, long nowMillis) {
    failedDaemons.put(daemon, nowMillis + RETENTION_MILLIS);
  }

  /**
   * Records that a daemon that was declared failed is alive.
   *
   * <p>Guards against a daemon that was paused for longer than the failure detector allows: until
   * the tombstone expires, none of its requests would be queued. Its requests count again as soon
   * as the membership has readmitted it.
   */
  void daemonRecovered(DaemonId daemon) {
    failedDaemons.invalidate(daemon);
  }

  /**
   * Returns whether a request belongs to an attempt that has ended or to a daemon that has failed.
   *
   * <p>A daemon counts as failed for some seconds at most: one that was wrongly declared failed
   * repeats its requests and has to be served again.
   */
  boolean isObsolete(PlacementRequest request, long nowMillis) {
    Ended last = ended.getIfPresent(request.request());
    if (last != null && nowMillis < last.untilMillis() && request.attempt() <= last.attempt()) {
      return true;
    }
    Long failedUntil = failedDaemons.getIfPresent(request.entry());
    return failedUntil != null && nowMillis < failedUntil;
  }

  private record Ended(int attempt, long untilMillis) {}
}
