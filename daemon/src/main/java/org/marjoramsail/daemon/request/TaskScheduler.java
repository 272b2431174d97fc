package org.marjoramsail.daemon.request;

/** Runs tasks later, on any thread. */
@FunctionalInterface
public interface TaskScheduler {

  /**
   * Runs a task once.
   *
   * @param delayMillis after how long; at least one
   * @param task what to run
   */
  void schedule(long delayMillis, Runnable task);
}
