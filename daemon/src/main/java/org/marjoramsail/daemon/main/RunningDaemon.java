package org.marjoramsail.daemon.main;

import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.marjoramsail.daemon.settings.Settings;

/** A daemon that listens. */
public interface RunningDaemon {

  /**
   * Stops without cutting off a request.
   *
   * @param listener told of each phase as it begins, on any thread
   * @return done once everything has ended; fails when something did not end in time
   */
  CompletionStage<Void> stop(Consumer<StopPhase> listener);

  /**
   * Takes settings that have changed; what cannot change while the daemon runs waits for its next
   * start.
   */
  default void reload(Settings newer) {}

  /** What a stop at this moment would lose; callable on any thread. */
  UnfinishedWork unfinished();
}
