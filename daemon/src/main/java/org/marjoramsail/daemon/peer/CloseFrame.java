package org.marjoramsail.daemon.peer;

import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;

/**
 * Last frame that a daemon sends before it closes a connection.
 *
 * @param reason the reason for which it closes the connection
 */
record CloseFrame(CloseReason reason) implements PeerMessage {

  CloseFrame {
    Objects.requireNonNull(reason, "reason");
  }
}
