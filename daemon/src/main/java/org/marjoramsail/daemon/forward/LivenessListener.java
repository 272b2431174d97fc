package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Receives reports about the liveness of upstreams, which distinguish a crash from a lost response.
 */
public interface LivenessListener {

  /**
   * Records a response of an upstream, which may have come by a relay.
   *
   * @param upstream the incarnation that was known when the request was sent
   * @param sentAtMillis when the request was sent
   */
  void responded(Incarnation upstream, long sentAtMillis);

  /** Records that the connection of a call to an upstream was closed before its response ended. */
  default void connectionLost(UpstreamName upstream) {}

  /** Records that an upstream refused a connection, as after its process has ended. */
  void connectionRefused(UpstreamName upstream);

  /**
   * Records that this daemon reached an upstream by its own network paths: it accepted a connection
   * or responded on one.
   *
   * @param startedAtMillis when the connection or the response was requested
   */
  void reached(UpstreamName upstream, long startedAtMillis);

  /** Returns whether an upstream may have crashed, since a connection to it was cut. */
  boolean mayHaveCrashed(UpstreamName upstream);
}
