package org.marjoramsail.command.platform;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.command.fleet.FleetRun;

@Timeout(120)
final class PollingTest {

  private static final int THREADS = 64;
  private static final int WAITS = 500;
  private static final long PATIENCE_SECONDS = 30;

  private final Vertx vertx = Vertx.vertx();
  private final ExecutorService threads = Executors.newFixedThreadPool(THREADS);

  @AfterEach
  void close() throws Exception {
    threads.shutdownNow();
    FleetRun.await("close", vertx.close(), PATIENCE_SECONDS);
  }

  /** Guards against a wait without end for a condition that holds when the timer first fires. */
  @Test
  void aWaitForAConditionThatHoldsAlreadyEnds() throws Exception {
    List<Future<Void>> waiters = new ArrayList<>();
    for (int thread = 0; thread < THREADS; thread++) {
      waiters.add(threads.submit(this::waitOften));
    }
    for (Future<Void> waiter : waiters) {
      waiter.get();
    }
  }

  private Void waitOften() throws Exception {
    for (int wait = 0; wait < WAITS; wait++) {
      FleetRun.await("wait", Polling.until(vertx, () -> true), PATIENCE_SECONDS);
    }
    return null;
  }
}
