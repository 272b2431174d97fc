package org.marjoramsail.core.discovery;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

/**
 * Revisions of the store between two states of a list, whose changes were not received. The store
 * has one revision counter for the objects of all kinds, so that they need not be changes of that
 * list.
 *
 * @param after revision of the state before
 * @param upTo revision of the state after, in the same epoch
 */
public record RevisionGap(StoreRevision after, StoreRevision upTo) {

  /** Checks that the gap has revisions. */
  public RevisionGap {
    if (after.epoch() != upTo.epoch() || after.number() >= upTo.number()) {
      throw new IllegalArgumentException("No revisions between " + after + " and " + upTo + ".");
    }
  }

  /** Returns the gap between two states; empty if none of one epoch is between them. */
  public static Optional<RevisionGap> between(StoreRevision before, StoreRevision later) {
    return before.epoch() == later.epoch() && before.number() < later.number()
        ? Optional.of(new RevisionGap(before, later))
        : Optional.empty();
  }

  /** Returns the number of revisions. */
  long size() {
    return upTo.number() - after.number();
  }

  /** Returns the revisions. */
  Set<StoreRevision> revisions() {
    Set<StoreRevision> revisions = new HashSet<>();
    for (long number = after.number() + 1; number <= upTo.number(); number++) {
      revisions.add(new StoreRevision(after.epoch(), number));
    }
    return revisions;
  }
}
