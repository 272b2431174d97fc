package org.marjoramsail.daemon.peer;

import java.util.Objects;
import org.marjoramsail.core.message.PeerMessage;

/**
 * The last frame before a connection is closed.
 *
 * @param reason why
 */
record CloseFrame(CloseReason reason) implements PeerMessage {

  CloseFrame {
    Objects.requireNonNull(reason, "reason");
  }
}
