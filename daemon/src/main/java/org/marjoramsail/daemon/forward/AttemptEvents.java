package org.marjoramsail.daemon.forward;

import java.util.OptionalInt;

/**
 * Numbers the events of one attempt by their position in the output of the request. Upstreams
 * number them from any id, in increasing order and with gaps.
 */
final class AttemptEvents {

  /** Position of an event that the caller received before the broken stream was resumed. */
  private static final int EARLIER = -1;

  private final int startIndex;
  private final OptionalInt startAfterId;
  private OptionalInt lastId = OptionalInt.empty();
  private String lastText = "";
  private int nextIndex;

  /**
   * Creates the numbering of an attempt that has given no event yet.
   *
   * @param startIndex number of events of the output that the caller has received from this daemon
   * @param startAfterId id of the last event that the caller has received, if any
   */
  AttemptEvents(int startIndex, OptionalInt startAfterId) {
    this.startIndex = startIndex;
    this.startAfterId = startAfterId;
    this.nextIndex = startIndex;
  }

  /**
   * Returns the position of the next event.
   *
   * @return for an event that an upstream repeats although the caller has received it, a position
   *     before the next one
   * @throws NonIncreasingIdException if the id does not exceed that of the event before, which is
   *     not the same event
   */
  int indexOf(EventSplitter.Event event) throws NonIncreasingIdException {
    int id = event.id();
    if (lastId.isPresent() && id <= lastId.getAsInt()) {
      if (id == lastId.getAsInt() && event.text().equals(lastText)) {
        return nextIndex - 1;
      }
      throw new NonIncreasingIdException(id, lastId.getAsInt());
    }
    lastId = OptionalInt.of(id);
    lastText = event.text();
    if (startAfterId.isPresent() && id <= startAfterId.getAsInt()) {
      return id == startAfterId.getAsInt() ? startIndex - 1 : EARLIER;
    }
    return nextIndex++;
  }

  /** Returns whether there was no event yet. */
  boolean isEmpty() {
    return lastId.isEmpty();
  }
}
