package org.marjoramsail.daemon.main;

import org.marjoramsail.daemon.settings.Settings;

/** Starts the parts of a daemon and connects them. */
@FunctionalInterface
public interface DaemonLauncher {

  /** Whether this launcher is the one for such settings; true by default. */
  default boolean accepts(Settings settings) {
    return true;
  }

  /**
   * Starts a daemon; returns once it listens.
   *
   * @throws LaunchException when something that it needs is not available; nothing runs then
   */
  RunningDaemon launch(Settings settings) throws LaunchException;
}
