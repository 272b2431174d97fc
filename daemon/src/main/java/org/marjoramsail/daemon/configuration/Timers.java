package org.marjoramsail.daemon.configuration;

/** Runs tasks later, so that tests can move the time by hand. */
@FunctionalInterface
public interface Timers {

  /**
   * Runs a task once.
   *
   * @param delayMillis how long from now, in milliseconds
   * @param task what to run; on any thread
   * @return cancels it
   */
  Timer schedule(long delayMillis, Runnable task);

  /** A task that has yet to run. */
  @FunctionalInterface
  interface Timer {
    /** Keeps the task from running; does nothing once it has run. */
    void cancel();
  }
}
