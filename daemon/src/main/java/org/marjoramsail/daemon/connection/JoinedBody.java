package org.marjoramsail.daemon.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.vertx.core.MultiMap;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.regex.Pattern;

/**
 * Detects the body of a response that breaks off and is continued by another response on the same
 * connection.
 *
 * <p>The decoder fills the body up with the status line of the other response, to its
 * content-length. A body may also quote a status line; it is joined if more bytes follow its end.
 * See {@link JoinedHead} for a response that breaks off within its head.
 */
public final class JoinedBody {

  private static final String PROTOCOL = "HTTP/1.";
  private static final ByteBuf PROTOCOL_BYTES =
      Unpooled.unreleasableBuffer(
          Unpooled.wrappedBuffer(PROTOCOL.getBytes(StandardCharsets.ISO_8859_1)));

  /** The whole begin of a status line, up to the status, or a part of it. */
  private static final Pattern STATUS_LINE_BEGIN =
      Pattern.compile("H(T(T(P(/(1(\\.([01]( \\d{0,3})?)?)?)?)?)?)?)?");

  /** Length of a status line up to the status, in bytes. */
  private static final int STATUS_LINE_BYTES = 12;

  private static final String LINE_END = "\r\n";
  private static final String ENCODING = "transfer-encoding:";

  /** Maximum number of bytes that are kept from the first status line on. */
  private static final int MAXIMUM_KEPT_BYTES = 16 << 10;

  private final StringBuilder textFromStatusLine = new StringBuilder();
  private String lastBytes = "";
  private boolean isStatusLineReceived;

  /** Adds some bytes of the body, which are not read. */
  public void add(ByteBuf bytes) {
    int length = bytes.readableBytes();
    if (isStatusLineReceived) {
      keep(bytes, 0);
    } else if (containsStatusLine(
        lastBytes + text(bytes, 0, Math.min(length, STATUS_LINE_BYTES)))) {
      isStatusLineReceived = true;
      textFromStatusLine.append(lastBytes);
      keep(bytes, 0);
    } else if (containsStatusLine(bytes)) {
      isStatusLineReceived = true;
      keep(bytes, ByteBufUtil.indexOf(PROTOCOL_BYTES, bytes) - bytes.readerIndex());
    }
    int start = Math.max(0, length - STATUS_LINE_BYTES);
    String end = text(bytes, start, length - start);
    String all = start == 0 ? lastBytes + end : end;
    lastBytes = all.substring(Math.max(0, all.length() - STATUS_LINE_BYTES));
  }

  /**
   * Returns whether a response has an end of its own, and not that of its connection; a body
   * without one that contains a status line is joined.
   */
  public static boolean isFramed(MultiMap headers) {
    String encoding = headers.get("transfer-encoding");
    return headers.contains("content-length")
        || (encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked"));
  }

  /** Returns whether the bytes so far contain a status line. */
  public boolean containsStatusLine() {
    return isStatusLineReceived;
  }

  /**
   * Returns whether another response may begin in the body and continue behind it. With no bytes
   * behind it, returns whether the body contains the head of a chunked response without the empty
   * line behind that head, which the decoder has read as the end of a chunk.
   *
   * @param following the first of the bytes that follow, a character each; empty if there are none
   */
  public boolean isContinuedBy(String following) {
    if (following.isEmpty()) {
      return isStatusLineReceived && containsHeadInChunk(textFromStatusLine.toString());
    }
    return isStatusLineReceived || isStatusLineAcross(lastBytes, following);
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

  private void keep(ByteBuf bytes, int offset) {
    int length =
        Math.min(bytes.readableBytes() - offset, MAXIMUM_KEPT_BYTES - textFromStatusLine.length());
    if (length > 0) {
      textFromStatusLine.append(text(bytes, offset, length));
    }
  }

  /**
   * Returns whether a text contains the head of a response in chunks without the empty line behind
   * it, which the decoder has read as the end of the chunk that the head is in.
   */
  private static boolean containsHeadInChunk(String text) {
    return JoinedHead.STATUS_LINE
        .matcher(text)
        .results()
        .anyMatch(statusLine -> isHeadInChunk(text, statusLine.end()));
  }

  private static boolean isHeadInChunk(String text, int statusEnd) {
    boolean isInChunks = false;
    int lineEnd = text.indexOf(LINE_END, statusEnd);
    while (lineEnd >= 0) {
      int lineStart = lineEnd + LINE_END.length();
      lineEnd = text.indexOf(LINE_END, lineStart);
      int colon = text.indexOf(':', lineStart);
      if (lineEnd < 0 || colon < 0 || colon > lineEnd) {
        return isInChunks && lineEnd != lineStart;
      }
      isInChunks |= text.regionMatches(true, lineStart, ENCODING, 0, ENCODING.length());
    }
    return false;
  }

  /** Returns whether a text contains a status line. */
  static boolean containsStatusLine(String text) {
    return text.contains(PROTOCOL) && JoinedHead.STATUS_LINE.matcher(text).find();
  }

  private static boolean containsStatusLine(ByteBuf bytes) {
    return ByteBufUtil.indexOf(PROTOCOL_BYTES, bytes) >= 0
        && containsStatusLine(bytes.toString(StandardCharsets.ISO_8859_1));
  }

  private static String text(ByteBuf bytes, int offset, int length) {
    return bytes.toString(bytes.readerIndex() + offset, length, StandardCharsets.ISO_8859_1);
  }
}
