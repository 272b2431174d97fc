package org.marjoramsail.core.discovery;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.Optional;
import java.util.Set;

/**
 * Gaps in the changes of a list that was received, from the oldest to the newest. A gap is closed
 * once each of its revisions is known to have changed something else, since every revision is the
 * change of one object.
 */
final class RevisionGaps {

  private static final int MAXIMUM_GAPS = 128;
  private static final long MAXIMUM_REVISIONS = 1_024;

  private record Gap(RevisionGap bounds, Set<StoreRevision> unexplained, long endedAtMillis) {}

  private final Deque<Gap> open = new ArrayDeque<>();
  private long revisions;

  /**
   * Adds a gap that is newer than all others.
   *
   * @param endedAtMillis when the state after it was received
   * @return whether it can be closed; false if it has too many revisions to be kept
   */
  boolean add(RevisionGap gap, long endedAtMillis) {
    if (gap.size() > MAXIMUM_REVISIONS) {
      return false;
    }
    open.addLast(new Gap(gap, gap.revisions(), endedAtMillis));
    revisions += gap.size();
    return true;
  }

  /** Returns whether there are more gaps than are kept. */
  boolean isFull() {
    return open.size() > MAXIMUM_GAPS || revisions > MAXIMUM_REVISIONS;
  }

  /** Handles revisions that did not change the list. */
  void explain(Collection<StoreRevision> elsewhere) {
    open.forEach(gap -> elsewhere.forEach(gap.unexplained()::remove));
    open.removeIf(gap -> gap.unexplained().isEmpty());
    revisions = open.stream().mapToLong(gap -> gap.bounds().size()).sum();
  }

  /** Returns the revision after which the oldest gap begins. */
  Optional<StoreRevision> oldest() {
    return Optional.ofNullable(open.peekFirst()).map(gap -> gap.bounds().after());
  }

  /** Returns the number of gaps. */
  int size() {
    return open.size();
  }

  /** Drops the oldest gap, if there is one; returns when it ended. */
  Optional<Long> dropOldest() {
    Optional<Gap> oldest = Optional.ofNullable(open.pollFirst());
    oldest.ifPresent(gap -> revisions -= gap.bounds().size());
    return oldest.map(Gap::endedAtMillis);
  }

  /** Returns when the oldest gap ended. */
  Optional<Long> oldestEndedAtMillis() {
    return Optional.ofNullable(open.peekFirst()).map(Gap::endedAtMillis);
  }

  /** Returns when the newest gap ended. */
  Optional<Long> newestEndedAtMillis() {
    return Optional.ofNullable(open.peekLast()).map(Gap::endedAtMillis);
  }

  /** Drops all gaps. */
  void clear() {
    open.clear();
    revisions = 0;
  }
}
