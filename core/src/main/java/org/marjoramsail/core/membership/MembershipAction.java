package org.marjoramsail.core.membership;

import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/** Action that the I/O layer of a {@link MembershipProtocol} has to perform. */
public sealed interface MembershipAction {

  /**
   * Send a message to a known incarnation.
   *
   * @param to the receiving daemon
   * @param message the message
   */
  record Send(DaemonId to, PeerMessage message) implements MembershipAction {}

  /**
   * Send a message to the daemon that listens on an address.
   *
   * @param to the address
   * @param message the message
   */
  record SendToAddress(PeerAddress to, PeerMessage message) implements MembershipAction {}

  /**
   * Notify the listeners of a change.
   *
   * @param view the current view
   */
  record Changed(MembershipView view) implements MembershipAction {}
}
