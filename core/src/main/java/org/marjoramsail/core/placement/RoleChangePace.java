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
public final class RoleChangePace {

  /**
   * An engine that was asked or ordered is left alone for this long, whatever became of it: an
   * order that got no answer may be carried out twelve seconds later.
   */
  private static final long APART_MILLIS = 14_000;

  /** How many engines of a small pool change at one time; each is out for seconds. */
  private static final int MOST_CHANGING = 2;

  /** One in so many engines of a large pool may be out: a wave of load is over in seconds. */
  private static final int ENGINES_FOR_EACH_CHANGING = 8;

  private final Map<UpstreamName, Long> apartUntil = new HashMap<>();
  private final Map<UpstreamName, RoleChange> changing = new HashMap<>();

  /** The changes that may be begun now, of those that are wanted. */
  public List<RoleChange> allowed(List<RoleChange> wanted, long nowMillis) {
    apartUntil.values().removeIf(until -> nowMillis >= until);
    return wanted.stream().filter(change -> !apartUntil.containsKey(change.upstream())).toList();
  }

  /**
   * Whether one more engine may be out.
   *
   * @param engines how many engines there are
   */
  public boolean hasRoom(int engines) {
    return changing.size() < Math.max(MOST_CHANGING, engines / ENGINES_FOR_EACH_CHANGING);
  }

  /** Whether changes that were begun are not known to have ended. */
  public boolean isChanging() {
    return !changing.isEmpty();
  }

  /** Records that an engine is asked what it does, before it is given an order. */
  public void asked(UpstreamName upstream, long nowMillis) {
    apartUntil.put(upstream, nowMillis + APART_MILLIS);
  }

  /** Records that an order is sent. */
  public void began(RoleChange change) {
    changing.put(change.upstream(), change);
  }

  /** Records that an order was refused; tells whether it was under way. */
  public boolean refused(RoleChange change) {
    return changing.remove(change.upstream()) != null;
  }

  /**
   * The changes that have ended since the last call: those that are seen, and those whose engine
   * was left alone for long enough.
   */
  public List<RoleChange> ended(Predicate<RoleChange> isSeen, long nowMillis) {
    List<RoleChange> ended = new ArrayList<>();
    for (RoleChange change : List.copyOf(changing.values())) {
      long until = apartUntil.getOrDefault(change.upstream(), nowMillis);
      if (isSeen.test(change) || nowMillis >= until) {
        changing.remove(change.upstream());
        ended.add(change);
      }
    }
    return ended;
  }
}
