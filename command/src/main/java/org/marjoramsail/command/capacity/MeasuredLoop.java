package org.marjoramsail.command.capacity;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;

/**
 * A Vert.x instance with a single event loop, whose processor time is read from its thread.
 *
 * <p>Not counted: worker threads, the collector and the compiler of the virtual machine.
 */
final class MeasuredLoop {

  private static final double NANOS_PER_MILLI = 1_000_000;

  private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
  private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1));
  private final Promise<Long> thread = Promise.promise();

  MeasuredLoop() {
    vertx.runOnContext(nothing -> thread.complete(Thread.currentThread().getId()));
  }

  Vertx vertx() {
    return vertx;
  }

  /** Processor time of the event loop so far, in milliseconds. */
  double processorMillis() throws CapacityException {
    long id = Waiting.on("find the event loop", thread.future(), 10);
    return threads.getThreadCpuTime(id) / NANOS_PER_MILLI;
  }

  Future<Void> close() {
    return vertx.close();
  }
}
