package org.marjoramsail.core.message;

import org.marjoramsail.core.model.DaemonId;

/** Handles the messages of other daemons; called on any thread. */
@FunctionalInterface
public interface PeerMessageHandler {

  /**
   * Handles one message.
   *
   * @param from the run of a daemon that sent it, as proven in the handshake
   * @param message what it says
   */
  void handle(DaemonId from, PeerMessage message);
}
