package org.marjoramsail.daemon.forward;

/** Brings the routes and the list of upstreams up to date on demand. */
@FunctionalInterface
public interface ListConfirmation {

  /** Does nothing, for lists that are always up to date. */
  ListConfirmation NONE = Runnable::run;

  /**
   * Reads all changes up to now, and then runs a task on the event loop. The task also runs if the
   * read failed; the lists are marked as unreadable then.
   */
  void confirm(Runnable task);
}
