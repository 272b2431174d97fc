package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Limits how many engines change their role at a time and how soon the same engine may change
 * again. Not thread-safe.
 */
public final class RoleChangeLimiter {

  /**
   * The minimum interval between two changes of one engine. It covers the delay after which an
   * order without a response may still be carried out, which is twelve seconds.
   */
  private static final long MINIMUM_INTERVAL_MILLIS = 14_000;

  /**
   * The number of engines of a small pool that may change at a time; each is unavailable for
   * seconds.
   */
  private static final int CONCURRENT_CHANGES_OF_SMALL_POOL = 2;

  /**
   * In a large pool one in this many engines may change at a time, so that the change ends before a
   * burst of load does.
   */
  private static final int ENGINES_PER_CONCURRENT_CHANGE = 8;

  private final Map<UpstreamName, Long> blockedUntil = new HashMap<>();
  private final Map<UpstreamName, RoleChange> inProgress = new HashMap<>();

  /** Returns those of the recommended changes whose engine may be changed now. */
  public List<RoleChange> allowed(List<RoleChange> recommended, long nowMillis) {
    blockedUntil.values().removeIf(until -> nowMillis >= until);
    return recommended.stream()
        .filter(change -> !blockedUntil.containsKey(change.upstream()))
        .toList();
  }

  /**
   * Returns whether one more change may be started.
   *
   * @param engines the number of engines of the pool
   */
  public boolean mayStartAnother(int engines) {
    return inProgress.size()
        < Math.max(CONCURRENT_CHANGES_OF_SMALL_POOL, engines / ENGINES_PER_CONCURRENT_CHANGE);
  }

  /** Returns whether any started change is not known to have ended. */
  public boolean isChanging() {
    return !inProgress.isEmpty();
  }

  /** Records that the state of an engine is queried, which precedes an order to it. */
  public void queried(UpstreamName upstream, long nowMillis) {
    blockedUntil.put(upstream, nowMillis + MINIMUM_INTERVAL_MILLIS);
  }

  /** Records that an order is sent. */
  public void started(RoleChange change) {
    inProgress.put(change.upstream(), change);
  }

  /** Records that an order was refused; returns whether it was in progress. */
  public boolean refused(RoleChange change) {
    return inProgress.remove(change.upstream()) != null;
  }

  /**
   * Removes and returns the changes that have ended since the last call: those that are observed,
   * and those whose minimum interval has passed.
   */
  public List<RoleChange> takeEnded(Predicate<RoleChange> isObserved, long nowMillis) {
    List<RoleChange> ended = new ArrayList<>();
    for (RoleChange change : List.copyOf(inProgress.values())) {
      long until = blockedUntil.getOrDefault(change.upstream(), nowMillis);
      if (isObserved.test(change) || nowMillis >= until) {
        inProgress.remove(change.upstream());
        ended.add(change);
      }
    }
    return ended;
  }
}
