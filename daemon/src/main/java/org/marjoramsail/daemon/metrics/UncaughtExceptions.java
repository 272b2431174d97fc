package org.marjoramsail.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.MeterRegistry;
import io.vertx.core.Handler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs and counts the exceptions that no handler of an event loop caught. The rest of that handler,
 * such as the response to a caller, may not have run.
 */
public final class UncaughtExceptions implements Handler<Throwable> {

  private static final Logger LOG = LoggerFactory.getLogger(UncaughtExceptions.class);

  private final Counter count;

  /** Creates a handler that counts in a registry. */
  public UncaughtExceptions(MeterRegistry registry) {
    this.count = registry.counter("marjoramsail.exceptions.uncaught");
  }

  @Override
  public void handle(Throwable exception) {
    count.increment();
    LOG.atError().setCause(exception).log("uncaught exception");
  }
}
