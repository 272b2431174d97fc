package org.marjoramsail.command.platform;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import java.util.function.BooleanSupplier;

/**
 * Waits until a condition holds.
 *
 * <p>Guards against waits that end with a stack overflow: a chain of futures that grows with each
 * poll is completed by nested calls.
 */
final class Polling {

  private static final long INTERVAL_MILLIS = 1;

  private Polling() {}

  /** Completes once a condition holds. */
  static Future<Void> until(Vertx vertx, BooleanSupplier condition) {
    Promise<Void> holds = Promise.promise();
    // On any other thread the timer may fire before Vert.x has stored what it needs to cancel it.
    vertx.runOnContext(started -> poll(vertx, condition, holds));
    return holds.future();
  }

  private static void poll(Vertx vertx, BooleanSupplier condition, Promise<Void> holds) {
    vertx.setPeriodic(
        INTERVAL_MILLIS,
        timer -> {
          if (condition.getAsBoolean()) {
            vertx.cancelTimer(timer);
            holds.complete();
          }
        });
  }
}
