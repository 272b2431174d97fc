package org.marjoramsail.daemon.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import org.marjoramsail.daemon.connection.JoinedBody;
import org.marjoramsail.daemon.connection.JoinedHead;

/**
 * Detects a response that breaks off and is continued by another one on the same connection.
 *
 * <p>The decoder reads the status line of the other one as a part of the body. See {@link
 * JoinedHead} for one that breaks off within its head, {@link JoinedBody} for upstreams whose
 * responses have no identifier, and {@link JoinedEvent} for streams.
 */
final class JoinedResponse {

  private static final String PROTOCOL = "HTTP/1.";

  private JoinedResponse() {}

  /**
   * Returns whether a body contains the head of another response, up to its identifier.
   *
   * @param attemptHeader name of the header with the identifier
   */
  static boolean isBodyJoined(Buffer body, String attemptHeader) {
    ByteBuf bytes = ((BufferInternal) body).getByteBuf();
    int statusLine = indexOf(PROTOCOL, bytes);
    return statusLine >= 0
        && isTextJoined(
            bytes.toString(
                statusLine, bytes.writerIndex() - statusLine, StandardCharsets.ISO_8859_1),
            attemptHeader);
  }

  /** Returns whether a text contains the head of another response, up to its identifier. */
  static boolean isTextJoined(String text, String attemptHeader) {
    Matcher statusLine = JoinedHead.STATUS_LINE.matcher(text);
    return text.contains(PROTOCOL)
        && statusLine.find()
        && containsHeader(text.substring(statusLine.end()), attemptHeader);
  }

  private static boolean containsHeader(String text, String name) {
    return text.lines()
        .skip(1)
        .anyMatch(line -> line.regionMatches(true, 0, name + ":", 0, name.length() + 1));
  }

  private static int indexOf(String text, ByteBuf bytes) {
    return ByteBufUtil.indexOf(
        Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)), bytes);
  }
}
