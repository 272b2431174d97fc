package org.marjoramsail.daemon.request;

/** Runs tasks after a delay, on any thread. */
@FunctionalInterface
public interface TaskScheduler {

  /**
   * Runs a task once.
   *
   * @param delayMillis the delay; at least one
   * @param task the task
   */
  void schedule(long delayMillis, Runnable task);
}
