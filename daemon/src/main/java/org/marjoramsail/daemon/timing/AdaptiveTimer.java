package org.marjoramsail.daemon.timing;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Calls a task again and again, often while there is work and seldom while there is none.
 *
 * <p>At rest a daemon's timers were most of its control cost. Work that arrives at rest waits for
 * at most the pause at rest until the first call, unless its arrival is told with {@link #wake}.
 */
public final class AdaptiveTimer {

  private final Vertx vertx;
  private final LongSupplier intervalMillis;
  private final Runnable task;
  private long timer;
  private long pendingMillis = Long.MAX_VALUE;
  private boolean stopped;

  /**
   * Creates a timer with one pause while there is work and another at rest.
   *
   * @param busyMillis pause between two calls while there is work; at least one
   * @param idleMillis pause while there is none
   * @param busy asked after each call
   * @param task what to call, on an event loop
   */
  public AdaptiveTimer(
      Vertx vertx, long busyMillis, long idleMillis, BooleanSupplier busy, Runnable task) {
    this(vertx, () -> busy.getAsBoolean() ? busyMillis : idleMillis, task);
  }

  /**
   * Creates a timer that calls nothing yet.
   *
   * @param intervalMillis the pause until the next call, in milliseconds, at least one; asked after
   *     each call and when work arrives
   * @param task what to call, on an event loop
   */
  public AdaptiveTimer(Vertx vertx, LongSupplier intervalMillis, Runnable task) {
    this.vertx = vertx;
    this.intervalMillis = intervalMillis;
    this.task = task;
  }

  /** Begins to call, and goes on until stopped. */
  public void start() {
    schedule(intervalMillis.getAsLong());
  }

  /** Brings the next call forward if work has arrived for which the pending pause is too long. */
  public void wake() {
    long requiredMillis = intervalMillis.getAsLong();
    synchronized (this) {
      boolean isStarted = pendingMillis != Long.MAX_VALUE;
      if (!isStarted || requiredMillis >= pendingMillis) {
        return;
      }
      vertx.cancelTimer(timer);
    }
    schedule(requiredMillis);
  }

  /** Calls no more. */
  public synchronized void stop() {
    stopped = true;
    vertx.cancelTimer(timer);
  }

  private synchronized void schedule(long millis) {
    if (!stopped) {
      pendingMillis = millis;
      timer = vertx.setTimer(millis, id -> call(id));
    }
  }

  private void call(long id) {
    if (!isPending(id)) {
      return;
    }
    try {
      task.run();
    } finally {
      // A task that throws once must not end the timer: whatever waits would wait for ever.
      schedule(intervalMillis.getAsLong());
    }
  }

  /** Whether a call is still wanted; one that {@link #wake} replaced may fire all the same. */
  private synchronized boolean isPending(long id) {
    return !stopped && id == timer;
  }
}
