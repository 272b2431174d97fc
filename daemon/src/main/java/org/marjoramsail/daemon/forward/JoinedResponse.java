package org.marjoramsail.daemon.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.internal.buffer.BufferInternal;
import java.nio.charset.StandardCharsets;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.marjoramsail.daemon.connection.JoinedHead;

/**
 * Detects a response that breaks off and is continued by another one on the same connection.
 *
 * <p>The decoder reads the status line of the other one as a part of the body. See {@link
 * JoinedHead} for one that breaks off within its head.
 */
final class JoinedResponse {

  private static final String PROTOCOL = "HTTP/1.";

  /** The whole begin of a status line, up to the status, or a part of it. */
  private static final Pattern STATUS_LINE_BEGIN =
      Pattern.compile("H(T(T(P(/(1(\\.([01]( \\d{0,3})?)?)?)?)?)?)?)?");

  /** Length of a status line up to the status, in bytes. */
  static final int STATUS_LINE_BYTES = 12;

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

  /** Returns whether bytes contain a status line. */
  static boolean containsStatusLine(Buffer bytes) {
    return indexOf(PROTOCOL, ((BufferInternal) bytes).getByteBuf()) >= 0
        && containsStatusLine(bytes.toString(StandardCharsets.ISO_8859_1));
  }

  /**
   * Returns whether a status line begins in the last bytes of a body and continues behind it.
   *
   * @param following the first of the bytes that follow; they may end within the status line
   */
  static boolean isStatusLineAcross(String lastBytes, String following) {
    if (following.isEmpty()) {
      return false;
    }
    int first = Math.max(0, lastBytes.length() - STATUS_LINE_BYTES);
    for (int begin = lastBytes.indexOf('H', first);
        begin >= 0;
        begin = lastBytes.indexOf('H', begin + 1)) {
      String text = lastBytes.substring(begin) + following;
      if (JoinedHead.STATUS_LINE.matcher(text).lookingAt()
          || STATUS_LINE_BEGIN.matcher(text).matches()) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether a text contains a status line. */
  static boolean containsStatusLine(String text) {
    return text != null && text.contains(PROTOCOL) && JoinedHead.STATUS_LINE.matcher(text).find();
  }

  private static int indexOf(String text, ByteBuf bytes) {
    return ByteBufUtil.indexOf(
        Unpooled.wrappedBuffer(text.getBytes(StandardCharsets.ISO_8859_1)), bytes);
  }
}
