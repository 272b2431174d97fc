package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import org.marjoramsail.daemon.settings.Settings;

/** Starts the daemons of a local fleet; found as a service on the class path. */
@FunctionalInterface
public interface FleetDaemonFactory {

  /** Starts a daemon; done once it listens. */
  Future<FleetDaemon> start(Settings settings);
}
