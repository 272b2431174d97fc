package org.marjoramsail.daemon.forward;

import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Receives the results of connections that are opened to upstreams. */
interface ConnectListener {

  /**
   * Records that a connection was opened.
   *
   * @param startedAtMillis when it was requested
   */
  void connected(UpstreamDefinition target, long startedAtMillis);

  /**
   * Records that a connection could not be opened.
   *
   * @param startedAtMillis when it was requested
   * @param refused whether it was refused; a timeout is no refusal
   * @param cause description for logs
   */
  void failed(UpstreamDefinition target, long startedAtMillis, boolean refused, String cause);
}
