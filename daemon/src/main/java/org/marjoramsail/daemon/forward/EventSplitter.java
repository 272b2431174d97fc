package org.marjoramsail.daemon.forward;

import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Cuts the bytes of a stream into whole events.
 *
 * <p>Guards against a stream that is broken off in the middle of an event: what is not whole is
 * never passed on, so a stream that goes on elsewhere repeats nothing and joins nothing.
 */
final class EventSplitter {

  private static final String ID_FIELD = "id:";

  /**
   * One event.
   *
   * @param id its number in the stream
   * @param text all its bytes, its blank line included, one character a byte
   */
  record Event(int id, String text) {}

  private final StringBuilder pending = new StringBuilder();
  private int blockStart;
  private int scanned;

  /**
   * Handles the next bytes.
   *
   * @return the events that they complete; lines without an event's number stay with the next one
   * @throws NumberFormatException when the number of an event is none
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

  /** Whether bytes wait that are no whole event. */
  boolean hasIncompleteEvent() {
    return pending.length() > 0;
  }

  /** The end of the next blank line, or -1. */
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
