package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import java.util.OptionalLong;
import org.marjoramsail.daemon.settings.Settings;

/** A daemon of a local fleet. */
public interface FleetDaemon {

  /** Where it takes callers. */
  int callerPort();

  /** Where it takes operators and says whether it is ready. */
  int operatorPort();

  /** Where it takes other daemons. */
  int peerPort();

  /** Returns the identifier of its process; empty if it has none of its own. */
  default OptionalLong process() {
    return OptionalLong.empty();
  }

  /** Whether it owns a shard of that service now. */
  boolean isDecidingFor(String service);

  /** Stops without cutting off a request. */
  Future<Void> stop();

  /**
   * Reads its settings again, as a process does at the signal for it. A daemon without a file of
   * settings keeps those that it has.
   *
   * @param newer the settings that it finds
   */
  default void reload(Settings newer) {}

  /** Ends at once, as a process does that dies: connections break and nothing is handed over. */
  Future<Void> kill();

  /** How often an invariant inside it did not hold; empty where that cannot be read. */
  OptionalLong violations();

  /** Stands still for some milliseconds, as a paused process does, and then goes on. */
  void pause(long millis);
}
