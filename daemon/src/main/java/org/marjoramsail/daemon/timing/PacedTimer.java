package org.marjoramsail.daemon.timing;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/**
 * Calls a task again and again, often while there is work and seldom while there is none.
 *
 * <p>At rest a daemon's timers were most of its control cost. Work that arrives at rest waits for
 * at most the pause at rest until the first call, so what cannot wait is done when it arrives.
 */
public final class PacedTimer {

  private final Vertx vertx;
  private final long busyMillis;
  private final long restMillis;
  private final BooleanSupplier busy;
  private final Runnable task;
  private volatile boolean stopped;

  /**
   * Calls nothing yet.
   *
   * @param busyMillis pause between two calls while there is work; at least one
   * @param restMillis pause while there is none
   * @param busy asked after each call
   * @param task what to call, on an event loop
   */
  public PacedTimer(
      Vertx vertx, long busyMillis, long restMillis, BooleanSupplier busy, Runnable task) {
    this.vertx = vertx;
    this.busyMillis = busyMillis;
    this.restMillis = restMillis;
    this.busy = busy;
    this.task = task;
  }

  /** Begins to call, and goes on until stopped. */
  public void start() {
    vertx.setTimer(busy.getAsBoolean() ? busyMillis : restMillis, timer -> call());
  }

  /** Calls no more. */
  public void stop() {
    stopped = true;
  }

  private void call() {
    if (stopped) {
      return;
    }
    try {
      task.run();
    } finally {
      // A task that throws once must not end the timer: whatever waits would wait for ever.
      start();
    }
  }
}
