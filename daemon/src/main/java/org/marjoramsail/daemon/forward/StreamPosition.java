package org.marjoramsail.daemon.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Tracks which event of a stream the caller has received last, by the ids that upstreams use. */
final class StreamPosition {

  private final Map<Integer, Integer> idsByIndex = new HashMap<>(2);
  private OptionalInt lastId;

  /**
   * Creates the position of a response that has no event yet.
   *
   * @param resumeAfter id of the last event that the caller received of a broken stream, if any
   */
  StreamPosition(OptionalInt resumeAfter) {
    this.lastId = resumeAfter;
  }

  /** Returns the id after which an attempt that is sent now has to go on, if any. */
  OptionalInt lastId() {
    return lastId;
  }

  /** Records the id of an event at a position of the output. */
  void received(int index, int id) {
    idsByIndex.put(index, id);
  }

  /** Records that the event at a position of the output is sent to the caller. */
  void sent(int index) {
    Optional.ofNullable(idsByIndex.remove(index)).ifPresent(id -> lastId = OptionalInt.of(id));
  }
}
