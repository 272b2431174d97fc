package org.marjoramsail.daemon.timing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class PacedTimerTest {

  private static final long HANG_SECONDS = 30;
  private static final int CALLS = 5;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(HANG_SECONDS, TimeUnit.SECONDS);
  }

  // A user's request waits for ever in a queue that nobody serves. In order: one call of the ticks
  // throws, no further one is planned. Cause: the next call was planned only after a good end.
  @Test
  void aCallThatThrowsDoesNotEndTheCalls() throws Exception {
    CountDownLatch calls = new CountDownLatch(CALLS);
    PacedTimer timer =
        new PacedTimer(
            vertx,
            1,
            1,
            () -> true,
            () -> {
              calls.countDown();
              throw new IllegalStateException("thrown by the test");
            });
    timer.start();

    assertThat(calls.await(HANG_SECONDS, TimeUnit.SECONDS)).isTrue();
    timer.stop();
  }

  @Test
  void whileThereIsWorkThePauseAtRestIsNotWaitedFor() throws Exception {
    CountDownLatch calls = new CountDownLatch(CALLS);
    PacedTimer timer =
        new PacedTimer(
            vertx, 1, TimeUnit.HOURS.toMillis(1), () -> calls.getCount() > 0, calls::countDown);
    timer.start();

    assertThat(calls.await(HANG_SECONDS, TimeUnit.SECONDS)).isTrue();
    timer.stop();
  }
}
