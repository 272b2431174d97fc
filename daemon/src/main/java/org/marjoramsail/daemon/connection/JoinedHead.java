package org.marjoramsail.daemon.connection;

import java.util.Map;
import java.util.regex.Pattern;

/**
 * Detects the head of a response that breaks off and is continued by another response on the same
 * connection.
 *
 * <p>The decoder reads the status line of the other one as a part of the reason phrase or of a
 * header, so that the status is that of one response, and later headers and the body are those of
 * the other. Within the name of a header, the decoder refuses it.
 */
public final class JoinedHead {

  /** A status line up to the status; neither a version nor an address in a header is one. */
  public static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] \\d{3}(?![\\d.])");

  private JoinedHead() {}

  /** Returns whether the head of a response contains the status line of another one. */
  public static boolean isJoined(String reasonPhrase, Iterable<Map.Entry<String, String>> headers) {
    if (containsStatusLine(reasonPhrase)) {
      return true;
    }
    for (Map.Entry<String, String> header : headers) {
      if (containsStatusLine(header.getValue())) {
        return true;
      }
    }
    return false;
  }

  private static boolean containsStatusLine(String text) {
    return text != null && STATUS_LINE.matcher(text).find();
  }
}
