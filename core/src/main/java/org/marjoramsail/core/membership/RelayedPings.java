package org.marjoramsail.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/** Pings that this daemon sent for others, until they are answered or too old to matter. */
final class RelayedPings {

  private static final int MAXIMUM = 256;

  /**
   * Who waits for the answer.
   *
   * @param requester whom to tell
   * @param sequence that of the request
   */
  record Relay(DaemonId requester, long sequence) {}

  private final Map<Long, Relay> bySequence = new LinkedHashMap<>();

  void add(long ownSequence, Relay relay) {
    if (bySequence.size() >= MAXIMUM) {
      bySequence.remove(bySequence.keySet().iterator().next());
    }
    bySequence.put(ownSequence, relay);
  }

  Optional<Relay> take(long ownSequence) {
    return Optional.ofNullable(bySequence.remove(ownSequence));
  }

  void clear() {
    bySequence.clear();
  }
}
