package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Says which change of a role may be begun next, so that few engines are out at a time and none is
 * turned to and fro. Not safe for several threads.
 */
public final class RoleChangeLimiter {

  /**
   * An engine that was asked or ordered is left alone for this long, whatever became of it: an
   * order that got no answer may be carried out twelve seconds later.
   */
  private static final long MINIMUM_INTERVAL_MILLIS = 14_000;

  /** How many engines of a small pool change at one time; each is out for seconds. */
  private static final int CONCURRENT_CHANGES_OF_SMALL_POOL = 2;

  /** One in so many engines of a large pool may be out: a wave of load is over in seconds. */
  private static final int ENGINES_PER_CONCURRENT_CHANGE = 8;

  private final Map<UpstreamName, Long> blockedUntil = new HashMap<>();
  private final Map<UpstreamName, RoleChange> inProgress = new HashMap<>();

  /** The changes that may be begun now, of those that are wanted. */
  public List<RoleChange> allowed(List<RoleChange> recommended, long nowMillis) {
    blockedUntil.values().removeIf(until -> nowMillis >= until);
    return recommended.stream()
        .filter(change -> !blockedUntil.containsKey(change.upstream()))
        .toList();
  }

  /**
   * Whether one more engine may be out.
   *
   * @param engines how many engines there are
   */
  public boolean mayStartAnother(int engines) {
    return inProgress.size()
        < Math.max(CONCURRENT_CHANGES_OF_SMALL_POOL, engines / ENGINES_PER_CONCURRENT_CHANGE);
  }

  /** Whether changes that were begun are not known to have ended. */
  public boolean isChanging() {
    return !inProgress.isEmpty();
  }

  /** Records that an engine is asked what it does, before it is given an order. */
  public void queried(UpstreamName upstream, long nowMillis) {
    blockedUntil.put(upstream, nowMillis + MINIMUM_INTERVAL_MILLIS);
  }

  /** Records that an order is sent. */
  public void started(RoleChange change) {
    inProgress.put(change.upstream(), change);
  }

  /** Records that an order was refused; tells whether it was under way. */
  public boolean refused(RoleChange change) {
    return inProgress.remove(change.upstream()) != null;
  }

  /**
   * The changes that have ended since the last call: those that are seen, and those whose engine
   * was left alone for long enough.
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
