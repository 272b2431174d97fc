package org.marjoramsail.core.configuration;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;

/** Latest deltas between successive revisions of one daemon, limited in number and size. */
final class RecentDeltas {

  private static final int MAXIMUM_DELTAS = 64;
  private static final int MAXIMUM_OPERATIONS = 64;

  private final Deque<RevisionDelta> deltas = new ArrayDeque<>();

  /**
   * Records the delta between two successive revisions. If no small delta exists, the older ones
   * are discarded, since they no longer form a chain to the newest revision.
   */
  void recordStep(Configuration before, Configuration after) {
    Optional<RevisionDelta> delta = deltaBetween(before, after);
    if (delta.isEmpty()) {
      deltas.clear();
      return;
    }
    deltas.addLast(delta.get());
    if (deltas.size() > MAXIMUM_DELTAS) {
      deltas.removeFirst();
    }
  }

  /** Returns the latest delta alone; empty if there is none. */
  List<RevisionDelta> lastStep() {
    return deltas.isEmpty() ? List.of() : List.of(deltas.getLast());
  }

  /**
   * Returns the deltas from a revision to the newest one; empty if they are too many or not
   * recorded.
   */
  List<RevisionDelta> deltasSince(long revision) {
    List<RevisionDelta> chain = new ArrayList<>();
    int operations = 0;
    Iterator<RevisionDelta> newestFirst = deltas.descendingIterator();
    while (newestFirst.hasNext()) {
      RevisionDelta delta = newestFirst.next();
      operations += delta.operations().size();
      if (operations > MAXIMUM_OPERATIONS) {
        return List.of();
      }
      chain.add(delta);
      if (delta.baseRevision() == revision) {
        Collections.reverse(chain);
        return chain;
      }
    }
    return List.of();
  }

  private static Optional<RevisionDelta> deltaBetween(Configuration before, Configuration after) {
    if (before.revision() == 0) {
      return Optional.empty();
    }
    List<ConfigurationOperation> operations =
        ConfigurationDifference.between(before, after).operations();
    if (operations.size() > MAXIMUM_OPERATIONS) {
      return Optional.empty();
    }
    Configuration rebuilt =
        ConfigurationEditor.applyUnchecked(before, operations, after.revision());
    return rebuilt.equals(after)
        ? Optional.of(
            new RevisionDelta(
                before.revision(), after.revision(), ConfigurationChecksum.of(after), operations))
        : Optional.empty();
  }
}
