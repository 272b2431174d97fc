package org.marjoramsail.daemon.main;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Turns the first signal into a stop that loses nothing and the second into one at once. */
final class StopSequence {

  private static final Logger LOGGER = LoggerFactory.getLogger(StopSequence.class);

  private final RunningDaemon daemon;
  private final AtomicBoolean isStopping = new AtomicBoolean();
  private final CompletableFuture<ExitCode> end = new CompletableFuture<>();

  StopSequence(RunningDaemon daemon) {
    this.daemon = daemon;
  }

  void signalled() {
    if (isStopping.compareAndSet(false, true)) {
      stopGracefully();
    } else {
      stopAtOnce();
    }
  }

  /** Waits until the daemon has stopped. */
  ExitCode awaitEnd() {
    return end.join();
  }

  private void stopGracefully() {
    LOGGER.atInfo().log("stop asked for");
    daemon
        .stop(phase -> LOGGER.atInfo().addKeyValue("phase", phase.code()).log("stopping"))
        .whenComplete((nothing, failure) -> ended(failure));
  }

  private void ended(Throwable failure) {
    if (failure == null) {
      LOGGER.atInfo().log("stopped with nothing lost");
      end.complete(ExitCode.OK);
      return;
    }
    UnfinishedWork lost = daemon.unfinished();
    LOGGER
        .atError()
        .setCause(failure)
        .addKeyValue("requests", lost.requests())
        .addKeyValue("atMostOnce", lost.atMostOnce())
        .log("stop failed");
    end.complete(ExitCode.FAILURE);
  }

  private void stopAtOnce() {
    UnfinishedWork lost = daemon.unfinished();
    LOGGER
        .atWarn()
        .addKeyValue("requests", lost.requests())
        .addKeyValue("atMostOnce", lost.atMostOnce())
        .addKeyValue("shards", lost.shards())
        .log("second signal: stopping at once; these requests are cut off");
    end.complete(ExitCode.STOPPED_AT_ONCE);
  }
}
