package org.marjoramsail.command.platform;

import java.util.HashMap;
import java.util.Map;

/**
 * Detects calls whose connections daemons refused although a network path had accepted them. Not
 * thread-safe.
 */
final class RefusedConnections {

  /** Most time between a refusal and the request: longer than any path, shorter than a reuse. */
  private static final long MOST_MILLIS = 1_000;

  private record Connection(String host, int port) {}

  private record Sent(Connection connection, long atMillis) {}

  private final Map<String, Sent> sent = new HashMap<>();
  private final Map<Connection, Long> refusals = new HashMap<>();

  /** Records that a request was sent to a host, from a port of its caller. */
  void sent(String request, String host, int port, long nowMillis) {
    sent.put(request, new Sent(new Connection(host, port), nowMillis));
  }

  /** Records that a host refused the connection from a port. */
  void refused(String host, int port, long nowMillis) {
    refusals.put(new Connection(host, port), nowMillis);
  }

  /** Returns whether the connection of a request was refused. */
  boolean isRefused(String request) {
    Sent call = sent.get(request);
    if (call == null) {
      return false;
    }
    Long refusedMillis = refusals.get(call.connection());
    return refusedMillis != null && Math.abs(refusedMillis - call.atMillis()) <= MOST_MILLIS;
  }
}
