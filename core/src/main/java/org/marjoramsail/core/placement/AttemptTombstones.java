package org.marjoramsail.core.placement;

import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.RequestId;

/**
 * Remembers for some seconds which attempts have ended and which daemons are failedDaemons.
 *
 * <p>Entry daemons repeat what may be lost, so a message can arrive after the end of what it is
 * about. Taken at its word it would reserve slots that nobody releases.
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
   * Records that a daemon lives after all.
   *
   * <p>Guards against a daemon that was paused for longer than a suspicion lasts: its callers would
   * go without an answer for the rest of the time for which it counts as gone, since none of its
   * requests would be queued. It is heard again as soon as membership has taken it back.
   */
  void daemonRecovered(DaemonId daemon) {
    failedDaemons.invalidate(daemon);
  }

  /**
   * Whether a message about this attempt is late.
   *
   * <p>A daemon counts as gone for some seconds at most: one that was declared dead wrongly repeats
   * its requests and has to be heard again.
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
