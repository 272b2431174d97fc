package org.marjoramsail.core.placement;

import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.core.model.DaemonId;

/**
 * Detects owners that do not respond, sooner than the failure detector does.
 *
 * <p>An owner is unresponsive when a message that requires a response has had none within the
 * time-out. It is then skipped for a fixed time, so that requests do not move back and forth
 * between owners.
 */
final class UnresponsiveOwners {

  private final PlacementTimings timings;
  private final Map<DaemonId, Long> unansweredSince = new HashMap<>();
  private final Map<DaemonId, Long> skippedUntil = new HashMap<>();

  UnresponsiveOwners(PlacementTimings timings) {
    this.timings = timings;
  }

  void requested(DaemonId owner, long nowMillis) {
    unansweredSince.putIfAbsent(owner, nowMillis);
  }

  void responded(DaemonId owner) {
    unansweredSince.remove(owner);
  }

  /**
   * Records that the connection to an owner has failed; the owner is skipped without a time-out.
   */
  void disconnected(DaemonId owner, long nowMillis) {
    unansweredSince.remove(owner);
    skippedUntil.put(owner, nowMillis + timings.skipMillis());
  }

  boolean isUnresponsive(DaemonId owner, long nowMillis) {
    Long until = skippedUntil.get(owner);
    if (until != null && nowMillis < until) {
      return true;
    }
    Long since = unansweredSince.get(owner);
    if (since == null || nowMillis - since < timings.responseTimeoutMillis()) {
      return false;
    }
    disconnected(owner, nowMillis);
    return true;
  }

  void removeExpired(long nowMillis) {
    skippedUntil.values().removeIf(until -> until <= nowMillis);
  }
}
