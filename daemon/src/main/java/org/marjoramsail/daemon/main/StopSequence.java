package org.marjoramsail.daemon.main;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Turns the first signal into a stop that loses nothing and the second into one at once.
 *
 * <p>Takes signals before the daemon runs: a start accepts requests before it has ended, and a stop
 * that did not wait for it would cut them off.
 */
final class StopSequence {

  private static final Logger LOGGER = LoggerFactory.getLogger(StopSequence.class);

  private final CompletableFuture<RunningDaemon> started = new CompletableFuture<>();
  private final AtomicBoolean isStopping = new AtomicBoolean();
  private final CompletableFuture<ExitCode> end = new CompletableFuture<>();
  private final Clock clock;

  /** Creates a sequence that measures by a clock how long a start delays the stop. */
  StopSequence(Clock clock) {
    this.clock = clock;
  }

  /** Handles a signal, on any thread. */
  void signalled() {
    if (isStopping.compareAndSet(false, true)) {
      stopGracefully();
    } else {
      stopAtOnce();
    }
  }

  /** Takes the daemon, which is stopped now if a signal said so while it was started. */
  void started(RunningDaemon daemon) {
    started.complete(daemon);
  }

  /** Ends the wait without a stop. */
  void endWith(ExitCode exitCode) {
    end.complete(exitCode);
  }

  /** Ends the wait with the failure of the start. */
  void startFailed(Throwable failure) {
    end.completeExceptionally(failure);
  }

  /** Waits until the daemon has stopped. */
  ExitCode awaitEnd() {
    return end.join();
  }

  private void stopGracefully() {
    LOGGER.atInfo().log("stop asked for");
    long signalledMillis = clock.millis();
    CompletableFuture<UnfinishedWork> unused =
        started
            .thenCompose(
                daemon -> daemon.stop(clock.millis() - signalledMillis, StopSequence::began))
            .whenComplete(
                (cutOff, failure) -> {
                  if (failure == null) {
                    ended(cutOff);
                  } else {
                    failed(failure);
                  }
                });
  }

  private static void began(StopPhase phase) {
    LOGGER.atInfo().addKeyValue("phase", phase.code()).log("stopping");
  }

  private void ended(UnfinishedWork cutOff) {
    if (cutOff.isLossless()) {
      LOGGER.atInfo().log("stopped with nothing lost");
      end.complete(ExitCode.OK);
    } else {
      log(LOGGER.atWarn(), cutOff).log("stopped when its time had passed; this is cut off");
      end.complete(ExitCode.STOPPED_LATE);
    }
  }

  private void failed(Throwable failure) {
    log(LOGGER.atError().setCause(failure), unfinished()).log("stop failed");
    end.complete(ExitCode.FAILURE);
  }

  private void stopAtOnce() {
    log(LOGGER.atWarn(), unfinished())
        .log("second signal: stopping at once; these requests are cut off");
    end.complete(ExitCode.STOPPED_AT_ONCE);
  }

  private UnfinishedWork unfinished() {
    return Optional.ofNullable(started.getNow(null))
        .map(RunningDaemon::unfinished)
        .orElse(new UnfinishedWork(0, 0, 0, 0));
  }

  private static LoggingEventBuilder log(LoggingEventBuilder line, UnfinishedWork work) {
    return line.addKeyValue("requests", work.requests())
        .addKeyValue("connections", work.connections())
        .addKeyValue("relayedCalls", work.relayedCalls())
        .addKeyValue("shards", work.shards());
  }
}
