package org.marjoramsail.core.membership;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;

/** Pings that this daemon sent on request of others; limited in number, oldest removed first. */
final class RelayedPings {

  private static final int MAXIMUM = 256;

  /**
   * Request for a relayed ping.
   *
   * @param requester the daemon that receives the response
   * @param sequence the sequence number of the request
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
