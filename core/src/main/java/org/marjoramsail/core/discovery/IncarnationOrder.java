package org.marjoramsail.core.discovery;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/**
 * Decides which entry of an upstream belongs to its latest incarnation.
 *
 * <p>The revisions of the store order the entries. A start time comes from the clock of the
 * upstream, which may be wrong, so it only tells incarnations apart. An earlier incarnation may
 * still have a write under way when the next one registers; the store carries it out last and gives
 * it the highest revision. Such a late entry is recognised by a start that was listed before and
 * was followed by a later one.
 *
 * <p>Where revisions and clocks disagree, entries of both starts are accepted in the order of their
 * revisions, and draining is not undone by either.
 */
final class IncarnationOrder {

  private static final int MAXIMUM_STARTS = 16;

  private final Set<Long> listed = newBoundedSet();
  private final Set<Long> replaced = newBoundedSet();

  /** Starts with the first entry of an upstream. */
  IncarnationOrder(UpstreamDefinition first) {
    first.startedAtMillis().ifPresent(listed::add);
  }

  /**
   * Returns the definition to use after an entry with the latest revision; empty if the entry is a
   * late one of an earlier incarnation.
   *
   * @param current definition in use
   * @param next definition in the entry
   */
  Optional<UpstreamDefinition> next(UpstreamDefinition current, UpstreamDefinition next) {
    Optional<Long> start = next.startedAtMillis();
    if (start.isEmpty() || start.equals(current.startedAtMillis())) {
      return Optional.of(next);
    }
    if (replaced.contains(start.get())) {
      return Optional.empty();
    }
    boolean isLater = start.get() > current.incarnation().startedAtMillis();
    if (listed.add(start.get())) {
      return firstEntry(next, isLater);
    }
    if (next.drained()) {
      return Optional.of(current.drained() ? current : current.withDrained(true));
    }
    return Optional.of(next).filter(unused -> !current.drained());
  }

  private Optional<UpstreamDefinition> firstEntry(UpstreamDefinition next, boolean isLater) {
    long start = next.incarnation().startedAtMillis();
    if (isLater) {
      replaced.addAll(listed);
      replaced.remove(start);
      return Optional.of(next);
    }
    if (next.drained()) {
      // An incarnation does not begin by draining.
      listed.remove(start);
      return Optional.empty();
    }
    return Optional.of(next);
  }

  private static Set<Long> newBoundedSet() {
    return Collections.newSetFromMap(
        new LinkedHashMap<>() {
          private static final long serialVersionUID = 1L;

          @Override
          protected boolean removeEldestEntry(Map.Entry<Long, Boolean> eldest) {
            return size() > MAXIMUM_STARTS;
          }
        });
  }
}
