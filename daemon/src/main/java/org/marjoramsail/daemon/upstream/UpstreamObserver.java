package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.LoadReport;

/** Receives the results of status polls; called on any thread. */
public interface UpstreamObserver {

  /**
   * Handles a load report of an upstream.
   *
   * @param report the load report
   * @param requestedAtMillis when the poll was sent, by this daemon's clock
   */
  void load(LoadReport report, long requestedAtMillis);

  /** Handles the full status of an upstream. */
  void status(UpstreamDefinition definition, UpstreamStatus status);

  /**
   * Handles a failed poll of an upstream.
   *
   * @param upstream the upstream
   * @param connectionRefused whether the host refused the connection, which means that no process
   *     listens
   */
  void unreachable(UpstreamName upstream, boolean connectionRefused);
}
