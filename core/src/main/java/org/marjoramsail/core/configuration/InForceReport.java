package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Report on which daemons a revision is in force.
 *
 * @param revision the requested revision
 * @param inForce number of daemons on which this or a later revision is in force
 * @param total number of daemons that should have it in force
 * @param lagging the daemons on which it is not in force, or that did not respond
 */
public record InForceReport(long revision, int inForce, int total, List<Lagging> lagging) {

  /** Copies the list to make the record immutable. */
  public InForceReport {
    lagging = List.copyOf(lagging);
  }

  /**
   * Daemon on which the revision is not known to be in force.
   *
   * @param host the host of the daemon
   * @param revision the revision in force there; empty if the daemon did not respond
   */
  public record Lagging(String host, Optional<Long> revision) {}

  /** Returns whether the revision is in force on all daemons that should have it. */
  public boolean isComplete() {
    return inForce == total;
  }

  @Override
  public String toString() {
    return "revision " + revision + " in force on " + inForce + " of " + total;
  }
}
