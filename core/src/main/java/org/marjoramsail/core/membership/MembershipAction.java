package org.marjoramsail.core.membership;

import org.marjoramsail.core.message.PeerMessage;
import org.marjoramsail.core.model.DaemonId;

/** What {@link MembershipProtocol} wants done. */
public sealed interface MembershipAction {

  /**
   * Send to a known run.
   *
   * @param to whom
   * @param message what
   */
  record Send(DaemonId to, PeerMessage message) implements MembershipAction {}

  /**
   * Send to whichever daemon listens at an address.
   *
   * @param to where
   * @param message what
   */
  record SendToAddress(PeerAddress to, PeerMessage message) implements MembershipAction {}

  /**
   * Tell the listeners.
   *
   * @param view what is believed now
   */
  record Changed(MembershipView view) implements MembershipAction {}
}
