package org.marjoramsail.daemon.upstream;

import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.LoadReport;

/** Receives what polls find; called on any thread. */
public interface UpstreamObserver {

  /**
   * Handles the load of an upstream.
   *
   * @param report what it said
   * @param requestedAtMillis when it was asked, on the clock of this daemon
   */
  void load(LoadReport report, long requestedAtMillis);

  /** Takes all that an upstream said of itself, for orders and operators. */
  void status(UpstreamDefinition definition, UpstreamStatus status);

  /**
   * Records that an upstream did not answer.
   *
   * @param upstream which
   * @param connectionRefused whether its host refused the connection, so that nothing listens there
   */
  void unreachable(UpstreamName upstream, boolean connectionRefused);
}
