package org.marjoramsail.daemon.configuration;

import io.vertx.core.Vertx;

/** Timers of Vert.x. */
public final class VertxTimers implements Timers {

  private final Vertx vertx;

  /** Creates an instance with the instance whose event loops run the tasks. */
  public VertxTimers(Vertx vertx) {
    this.vertx = vertx;
  }

  @Override
  public Timer schedule(long delayMillis, Runnable task) {
    long timer = vertx.setTimer(Math.max(1, delayMillis), ignored -> task.run());
    return () -> vertx.cancelTimer(timer);
  }
}
