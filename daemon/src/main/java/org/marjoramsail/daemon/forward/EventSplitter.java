package org.marjoramsail.daemon.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits the bytes of a stream into complete events.
 *
 * <p>Guards against a stream that breaks in the middle of an event: incomplete events are never
 * passed on, so the stream can be resumed on another upstream without repeated or joined bytes.
 */
final class EventSplitter {

  private static final String ID_FIELD = "id:";

  /**
   * One server-sent event.
   *
   * @param id id of the event in its stream
   * @param text all bytes of the event including its final blank line, one character per byte
   */
  record Event(int id, String text) {}

  private final StringBuilder pending = new StringBuilder();
  private int blockStart;
  private int scanned;

  /**
   * Appends bytes of the stream.
   *
   * @return the events that these bytes complete; blocks without an event id are joined to the next
   *     event
   * @throws NumberFormatException if an event id is not a number
   */
  List<Event> split(Buffer bytes) {
    pending.append(bytes.toString(StandardCharsets.ISO_8859_1));
    List<Event> events = new ArrayList<>(1);
    int end = blockEnd();
    while (end >= 0) {
      int id = idIn(blockStart, end);
      if (id >= 0) {
        events.add(new Event(id, pending.substring(0, end)));
        pending.delete(0, end);
        blockStart = 0;
        scanned = 0;
      } else {
        blockStart = end;
        scanned = end;
      }
      end = blockEnd();
    }
    return events;
  }

  /** Returns whether the stream ends inside a block, which shows that it was broken off. */
  boolean hasIncompleteEvent() {
    return pending.chars().skip(blockStart).anyMatch(next -> next != '\n' && next != '\r');
  }

  /** Returns the number of bytes that belong to no complete event yet. */
  int pendingBytes() {
    return pending.length();
  }

  /** Returns the bytes after the last event: blocks without an id, and further blank lines. */
  String trailingText() {
    return pending.toString();
  }

  /** Returns the end of the next blank line, or -1. */
  private int blockEnd() {
    int lineFeed = pending.indexOf("\n", scanned);
    while (lineFeed >= 0) {
      int next = lineFeed + 1;
      if (next < pending.length() && pending.charAt(next) == '\r') {
        next++;
      }
      if (next < pending.length() && pending.charAt(next) == '\n') {
        return next + 1;
      }
      if (next >= pending.length()) {
        break;
      }
      scanned = next;
      lineFeed = pending.indexOf("\n", scanned);
    }
    return -1;
  }

  private int idIn(int from, int to) {
    int lineStart = from;
    while (lineStart < to) {
      int lineEnd = pending.indexOf("\n", lineStart);
      if (pending.indexOf(ID_FIELD, lineStart) == lineStart) {
        return Integer.parseInt(pending.substring(lineStart + ID_FIELD.length(), lineEnd).strip());
      }
      lineStart = lineEnd + 1;
    }
    return -1;
  }
}
