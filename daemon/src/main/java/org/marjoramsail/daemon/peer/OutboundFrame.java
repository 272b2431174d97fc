package org.marjoramsail.daemon.peer;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/**
 * Encoded message that is queued for writing.
 *
 * @param type the type of the message
 * @param recipient the incarnation that may receive it; absent if any daemon at the address may
 * @param bytes the frame: the length of the body, then the body
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
