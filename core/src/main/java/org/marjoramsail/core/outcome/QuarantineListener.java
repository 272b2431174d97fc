package org.marjoramsail.core.outcome;

/** Receives the changes of a quarantine, for logs and counters. */
@FunctionalInterface
public interface QuarantineListener {

  /** Ignores all changes. */
  QuarantineListener NONE = change -> {};

  /** Handles a change; called while the quarantine is locked. */
  void changed(QuarantineChange change);
}
