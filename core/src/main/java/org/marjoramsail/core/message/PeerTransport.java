package org.marjoramsail.core.message;

import org.marjoramsail.core.model.DaemonId;

/** Sends messages to other daemons asynchronously, without a guarantee of delivery. */
@FunctionalInterface
public interface PeerTransport {

  /**
   * Sends one message, which may be lost; the transport itself never delivers it twice.
   *
   * @param to the receiving daemon; nothing is delivered if another incarnation of it is running
   * @param message the message
   */
  void send(DaemonId to, PeerMessage message);
}
