package org.marjoramsail.daemon.forward;

import io.vertx.core.buffer.Buffer;
import java.util.Optional;

/**
 * Passes on those events of a stream that are not joined with another response.
 *
 * <p>An event that contains a status line is held back until the next event, or the end of the
 * stream, shows that the line is a quotation. If the event is a {@link JoinedEvent} of which that
 * cannot be told, the bytes of the other response rarely fit into the framing of the stream.
 */
final class WholeEvents {

  /** Receives the events in order. */
  @FunctionalInterface
  interface Receiver {
    void event(EventSplitter.Event event) throws NonIncreasingIdException;
  }

  private final EventSplitter splitter = new EventSplitter();
  private final String attemptHeader;
  private final Receiver receiver;
  private Optional<EventSplitter.Event> held = Optional.empty();

  /**
   * Creates an instance for one stream.
   *
   * @param attemptHeader name of the header with the identifier of a response
   */
  WholeEvents(String attemptHeader, Receiver receiver) {
    this.attemptHeader = attemptHeader;
    this.receiver = receiver;
  }

  /**
   * Adds bytes of the stream.
   *
   * @return false if an event is joined with another response, after which nothing may be added
   * @throws NumberFormatException if an event id is not a number
   */
  boolean add(Buffer bytes) throws NonIncreasingIdException {
    for (EventSplitter.Event event : splitter.split(bytes)) {
      if (JoinedEvent.isJoined(event.text(), attemptHeader)) {
        return false;
      }
      passHeld();
      if (JoinedEvent.containsStatusLine(event.text())) {
        held = Optional.of(event);
      } else {
        receiver.event(event);
      }
    }
    return true;
  }

  /** Ends the stream, and returns whether it is whole. */
  boolean end() throws NonIncreasingIdException {
    if (splitter.hasIncompleteEvent()
        || JoinedEvent.isJoined(splitter.trailingText(), attemptHeader)) {
      return false;
    }
    passHeld();
    return true;
  }

  /** Returns the number of bytes that belong to no complete event yet. */
  int pendingBytes() {
    return splitter.pendingBytes();
  }

  /** Returns the bytes after the last event. */
  String trailingText() {
    return splitter.trailingText();
  }

  private void passHeld() throws NonIncreasingIdException {
    if (held.isPresent()) {
      EventSplitter.Event event = held.get();
      held = Optional.empty();
      receiver.event(event);
    }
  }
}
