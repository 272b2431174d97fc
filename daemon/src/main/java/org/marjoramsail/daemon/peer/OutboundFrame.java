package org.marjoramsail.daemon.peer;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * A message that waits to be written.
 *
 * @param type what it is
 * @param recipient the run that it is for; absent when any run at the address will do
 * @param bytes its length and its body
 */
record OutboundFrame(PeerMessageType type, Optional<DaemonId> recipient, Buffer bytes) {

  private static final int LENGTH_BYTES = Integer.BYTES;

  static OutboundFrame of(PeerMessageType type, Optional<DaemonId> recipient, byte[] body) {
    Buffer bytes = Buffer.buffer(LENGTH_BYTES + body.length);
    bytes.appendInt(body.length);
    bytes.appendBytes(body);
    return new OutboundFrame(type, recipient, bytes);
  }

  int length() {
    return bytes.length();
  }

  boolean isFor(DaemonId daemon) {
    return recipient.isEmpty() || recipient.get().equals(daemon);
  }
}
