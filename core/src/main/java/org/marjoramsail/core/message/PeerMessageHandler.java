package org.marjoramsail.core.message;

import org.marjoramsail.core.model.DaemonId;

/** Handles the messages of other daemons; called on any thread. */
@FunctionalInterface
public interface PeerMessageHandler {

  /**
   * Handles one message.
   *
   * @param from the run of the daemon that sent it, as authenticated in the handshake
   * @param message the message
   */
  void handle(DaemonId from, PeerMessage message);
}
