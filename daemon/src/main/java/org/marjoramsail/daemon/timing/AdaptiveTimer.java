package org.marjoramsail.daemon.timing;

import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;

/**
 * Calls a task repeatedly: at a short interval while there is work, and at a long interval while
 * idle, which keeps an idle daemon cheap.
 *
 * <p>Work that arrives while the timer is idle waits for at most the idle interval, unless {@link
 * #wake} is called.
 */
public final class AdaptiveTimer {

  private final Vertx vertx;
  private final LongSupplier intervalMillis;
  private final Runnable task;
  private long timer;
  private long pendingMillis = Long.MAX_VALUE;
  private boolean stopped;

  /**
   * Creates a timer with one interval while there is work and another while idle.
   *
   * @param busyMillis interval between two calls while there is work; at least one
   * @param idleMillis interval between two calls while idle
   * @param busy returns whether there is work; evaluated after each call
   * @param task the task, called on an event loop
   */
  public AdaptiveTimer(
      Vertx vertx, long busyMillis, long idleMillis, BooleanSupplier busy, Runnable task) {
    this(vertx, () -> busy.getAsBoolean() ? busyMillis : idleMillis, task);
  }

  /**
   * Creates a timer that is not started.
   *
   * @param intervalMillis returns the interval until the next call, in milliseconds, at least one;
   *     evaluated after each call and by {@link #wake}
   * @param task the task, called on an event loop
   */
  public AdaptiveTimer(Vertx vertx, LongSupplier intervalMillis, Runnable task) {
    this.vertx = vertx;
    this.intervalMillis = intervalMillis;
    this.task = task;
  }

  /** Starts the calls, which continue until {@link #stop}. */
  public void start() {
    schedule(intervalMillis.getAsLong());
  }

  /** Reschedules the next call if the current interval is shorter than the pending one. */
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

  /** Stops the calls. */
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
      // An exception must not end the timer, since waiting requests would never be handled.
      schedule(intervalMillis.getAsLong());
    }
  }

  /** Returns whether a timer is the pending one; {@link #wake} may have replaced it as it fired. */
  private synchronized boolean isPending(long id) {
    return !stopped && id == timer;
  }
}
