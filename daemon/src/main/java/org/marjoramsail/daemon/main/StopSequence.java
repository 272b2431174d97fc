package org.marjoramsail.daemon.main;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

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
        .whenComplete(
            (cutOff, failure) -> {
              if (failure == null) {
                ended(cutOff);
              } else {
                failed(failure);
              }
            });
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
    log(LOGGER.atError().setCause(failure), daemon.unfinished()).log("stop failed");
    end.complete(ExitCode.FAILURE);
  }

  private void stopAtOnce() {
    log(LOGGER.atWarn(), daemon.unfinished())
        .log("second signal: stopping at once; these requests are cut off");
    end.complete(ExitCode.STOPPED_AT_ONCE);
  }

  private static LoggingEventBuilder log(LoggingEventBuilder line, UnfinishedWork work) {
    return line.addKeyValue("requests", work.requests())
        .addKeyValue("connections", work.connections())
        .addKeyValue("relayedCalls", work.relayedCalls())
        .addKeyValue("shards", work.shards());
  }
}
