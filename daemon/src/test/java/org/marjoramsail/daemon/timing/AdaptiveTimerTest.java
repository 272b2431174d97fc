package org.marjoramsail.daemon.timing;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

final class AdaptiveTimerTest {

  private static final long TIMEOUT_SECONDS = 30;
  private static final int CALLS = 5;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() throws Exception {
    vertx.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
  }

  // Guards against requests that wait for ever because an exception ended the timer.
  @Test
  void aTaskThatThrowsIsCalledAgain() throws Exception {
    CountDownLatch calls = new CountDownLatch(CALLS);
    AdaptiveTimer timer =
        new AdaptiveTimer(
            vertx,
            1,
            1,
            () -> true,
            () -> {
              calls.countDown();
              throw new IllegalStateException("thrown by the test");
            });
    timer.start();

    assertThat(calls.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    timer.stop();
  }

  @Test
  void theIdleIntervalIsNotUsedWhileThereIsWork() throws Exception {
    CountDownLatch calls = new CountDownLatch(CALLS);
    AdaptiveTimer timer =
        new AdaptiveTimer(
            vertx, 1, TimeUnit.HOURS.toMillis(1), () -> calls.getCount() > 0, calls::countDown);
    timer.start();

    assertThat(calls.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    timer.stop();
  }

  // Guards against a request that waits for the rest of the idle interval despite a wake-up.
  @Test
  void wakingAnIdleTimerShortensThePendingInterval() throws Exception {
    CountDownLatch calls = new CountDownLatch(CALLS);
    AtomicBoolean busy = new AtomicBoolean();
    AdaptiveTimer timer =
        new AdaptiveTimer(vertx, 1, TimeUnit.HOURS.toMillis(1), busy::get, calls::countDown);
    timer.start();

    busy.set(true);
    timer.wake();

    assertThat(calls.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    timer.stop();
  }

  @Test
  void wakingATimerThatIsNotStartedCallsNothing() throws Exception {
    CountDownLatch calls = new CountDownLatch(1);
    AdaptiveTimer timer = new AdaptiveTimer(vertx, 1, 1, () -> true, calls::countDown);

    timer.wake();
    CountDownLatch later = new CountDownLatch(1);
    vertx.setTimer(CALLS, id -> later.countDown());

    assertThat(later.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)).isTrue();
    assertThat(calls.getCount()).isEqualTo(1);
  }
}
