package org.marjoramsail.daemon.main;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.marjoramsail.daemon.settings.Settings;

/** A daemon that listens. */
public interface RunningDaemon {

  /**
   * Stops without cutting off a request, unless the time for the stop passes.
   *
   * @param elapsedMillis time since the process was told to stop, which counts toward that time
   * @param listener told of each phase as it begins, on any thread
   * @return completes once everything has ended, with what was cut off
   */
  CompletionStage<UnfinishedWork> stop(long elapsedMillis, Consumer<StopPhase> listener);

  /** Stops a daemon that is told to stop at this moment. */
  default CompletionStage<UnfinishedWork> stop(Consumer<StopPhase> listener) {
    return stop(0, listener);
  }

  /**
   * Takes settings that have changed; what cannot change while the daemon runs waits for its next
   * start.
   */
  default void reload(Settings newer) {}

  /** What a stop at this moment would lose; callable on any thread. */
  UnfinishedWork unfinished();
}
