package org.marjoramsail.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import java.nio.charset.StandardCharsets;
import java.util.regex.Pattern;

/**
 * Detects the line with the size of a chunk that breaks off and is continued by another response on
 * the same connection.
 *
 * <p>The decoder ignores what stands between the size and the end of its line, so that the status
 * line of the other response is lost and its headers become the begin of the chunk. Only a line
 * that breaks off between its carriage return and its line feed is looked for.
 */
final class JoinedChunk {

  private static final String PROTOCOL = "HTTP/1.";
  private static final ByteBuf PROTOCOL_BYTES =
      Unpooled.unreleasableBuffer(
          Unpooled.wrappedBuffer(PROTOCOL.getBytes(StandardCharsets.ISO_8859_1)));

  /**
   * The status line may follow a part of another one. The character behind the status is required,
   * since the status may arrive in parts.
   */
  private static final Pattern SIZE_AND_STATUS_LINE =
      Pattern.compile(
          "\\n[0-9A-Fa-f]+[ \\t]*(;[^\\r\\n]*)?\\r[^\\n]*?"
              + JoinedHead.STATUS_LINE.pattern()
              + "[ \\r\\n]");

  /** More than a size, a carriage return and the begins of two status lines have. */
  private static final int MAXIMUM_KEPT_BYTES = 64;

  private String lastBytes = "";

  /**
   * Adds bytes that the decoder receives next, which are not read.
   *
   * @return whether another response continues the line with the size of a chunk in them
   */
  boolean isJoinedBy(ByteBuf bytes) {
    int length = bytes.readableBytes();
    boolean isJoined =
        isJoined(lastBytes + text(bytes, 0, Math.min(length, MAXIMUM_KEPT_BYTES)))
            || (length > MAXIMUM_KEPT_BYTES
                && ByteBufUtil.indexOf(PROTOCOL_BYTES, bytes) >= 0
                && isJoined(bytes.toString(StandardCharsets.ISO_8859_1)));
    int start = Math.max(0, length - MAXIMUM_KEPT_BYTES);
    String all = lastBytes + text(bytes, start, length - start);
    lastBytes = all.substring(Math.max(0, all.length() - MAXIMUM_KEPT_BYTES));
    return isJoined;
  }

  private static boolean isJoined(String text) {
    return text.contains(PROTOCOL) && SIZE_AND_STATUS_LINE.matcher(text).find();
  }

  private static String text(ByteBuf bytes, int offset, int length) {
    return bytes.toString(bytes.readerIndex() + offset, length, StandardCharsets.ISO_8859_1);
  }
}
