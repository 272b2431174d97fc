package org.marjoramsail.daemon.forward;

/** Brings the routes and the list of upstreams up to date on demand. */
@FunctionalInterface
public interface ListConfirmation {

  /** Does nothing, for lists that are always up to date. */
  ListConfirmation NONE = Runnable::run;

  /**
   * Reads all changes up to now, and then runs a task on the event loop, also if they could not be
   * read. What is not readable shows in the state of the lists.
   */
  void confirm(Runnable task);
}
