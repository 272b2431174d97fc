package org.marjoramsail.core.message;

import org.marjoramsail.core.model.DaemonId;

/** Sends messages to other daemons, without waiting and without a promise of delivery. */
@FunctionalInterface
public interface PeerTransport {

  /**
   * Sends one message; it may be lost, and is never delivered twice by the transport itself.
   *
   * @param to the daemon that should get it; an incarnation other than the running one gets nothing
   * @param message what to send
   */
  void send(DaemonId to, PeerMessage message);
}
