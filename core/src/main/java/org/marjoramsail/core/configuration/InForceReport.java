package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Where a revision is in force.
 *
 * @param revision the revision asked about
 * @param inForce on how many daemons it, or a later one, is in force
 * @param total of how many daemons that should serve
 * @param lagging those on which it is not, or that did not answer
 */
public record InForceReport(long revision, int inForce, int total, List<Lagging> lagging) {

  /** Copies the list, so that the value cannot change. */
  public InForceReport {
    lagging = List.copyOf(lagging);
  }

  /**
   * A daemon on which a revision is not known to be in force.
   *
   * @param host its host
   * @param revision what is in force there; empty when it did not answer
   */
  public record Lagging(String host, Optional<Long> revision) {}

  /** Whether the revision is in force on all daemons that should serve. */
  public boolean isComplete() {
    return inForce == total;
  }

  @Override
  public String toString() {
    return "revision " + revision + " in force on " + inForce + " of " + total;
  }
}
