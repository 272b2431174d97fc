package org.marjoramsail.daemon.forward;

import java.util.Set;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.marjoramsail.daemon.connection.JoinedHead;

/**
 * Detects an event of a stream that breaks off and is continued by another response on the same
 * connection.
 *
 * <p>The empty line behind the head of the other response ends the event, so that the decoder may
 * deliver it long before the chunk proves to be broken. The head need not have an identifier, as
 * that of an interim response has none.
 *
 * @see <a href="https://html.spec.whatwg.org/multipage/server-sent-events.html">Server-sent
 *     events</a>
 */
final class JoinedEvent {

  private static final Pattern STATUS_LINE =
      Pattern.compile(JoinedHead.STATUS_LINE.pattern() + "[^\\r\\n]*(\\r?\\n)");

  /** Excludes the quotes and braces of an event in JSON that quotes such a line. */
  private static final Pattern INTERIM_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] 1\\d\\d[A-Za-z -]*\\r\\n");

  private static final Pattern HEADER = Pattern.compile("([!#$%&'*+.^_`|~\\w-]+):");
  private static final Pattern BARE_LINE_FEED = Pattern.compile("(?<!\\r)\\n");
  private static final String LINE_END = "\r\n";

  /** Fields of events; a line with another name is a header of a response. */
  private static final Set<String> FIELDS = Set.of("data", "event", "id", "retry");

  private JoinedEvent() {}

  /**
   * Returns whether the text of an event, or what follows the last one, contains the head of
   * another response and does not just quote its status line.
   *
   * @param attemptHeader name of the header with the identifier
   */
  static boolean isJoined(String text, String attemptHeader) {
    Matcher statusLine = STATUS_LINE.matcher(text);
    while (statusLine.find()) {
      if (isHead(text, statusLine)) {
        return true;
      }
    }
    return JoinedResponse.isTextJoined(text, attemptHeader);
  }

  /** Returns whether a text contains a status line, be it a quotation or not. */
  static boolean containsStatusLine(String text) {
    return JoinedHead.STATUS_LINE.matcher(text).find();
  }

  private static boolean isHead(String text, Matcher statusLine) {
    String rest = text.substring(statusLine.end());
    if (rest.startsWith("\n") || rest.startsWith(LINE_END)) {
      return isInNoField(text, statusLine)
          || isInterim(statusLine)
          || hasOtherLineEnd(text, statusLine);
    }
    Matcher header = HEADER.matcher(rest);
    return isInNoField(text, statusLine)
        || (header.lookingAt() && !FIELDS.contains(header.group(1)));
  }

  /** Only the value of a field, or a comment, may quote anything. */
  private static boolean isInNoField(String text, Matcher statusLine) {
    int lineStart = text.lastIndexOf('\n', statusLine.start()) + 1;
    int colon = text.indexOf(':', lineStart);
    return colon < 0 || colon > statusLine.start();
  }

  private static boolean isInterim(Matcher statusLine) {
    return INTERIM_STATUS_LINE.matcher(statusLine.group()).matches();
  }

  /** Heads end their lines with CR LF, whatever the events of the stream end theirs with. */
  private static boolean hasOtherLineEnd(String text, Matcher statusLine) {
    return statusLine.group(1).equals(LINE_END) && BARE_LINE_FEED.matcher(text).find();
  }
}
