package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import java.util.Set;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;

/**
 * A daemon that relays calls to upstreams.
 *
 * <p>A relayed call is the call itself, sent to the relay with two more headers.
 *
 * @param daemon the daemon
 * @param address its address for other daemons
 * @param port its port for relayed calls
 * @param token authorizes calls
 */
record Relay(DaemonId daemon, String address, int port, String token) {

  static final String TOKEN = "marjoramsail-relay-token";
  static final String UPSTREAM = "marjoramsail-relay-upstream";

  /** Header of a response which states that the call was not sent to the upstream. */
  static final String NOT_SENT = "marjoramsail-relay-not-sent";

  /** Status of a response to a call without the token of this incarnation of the relay. */
  static final int FORBIDDEN_STATUS = 403;

  /** Headers that concern the relay, or one connection, and are not passed on. */
  private static final Set<String> OWN =
      Set.of(
          TOKEN,
          UPSTREAM,
          NOT_SENT,
          "connection",
          "keep-alive",
          "transfer-encoding",
          "content-length");

  /** Adds to the headers of a call what the relay needs. */
  void addParameters(MultiMap headers, UpstreamDefinition target) {
    headers.set(TOKEN, token);
    headers.set(UPSTREAM, target.name().value());
  }

  /** Returns the headers that a relay passes on, in either direction. */
  static MultiMap passedOn(MultiMap headers) {
    MultiMap passed = MultiMap.caseInsensitiveMultiMap().addAll(headers);
    OWN.forEach(passed::remove);
    return passed;
  }
}
