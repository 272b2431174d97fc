package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.InForceReport;

/**
 * What became of orders that were not refused.
 *
 * @param state how far they are
 * @param revision the revision of the configuration that they made
 * @param inForce where that revision is in force so far
 * @param details what they change, one line each
 */
public record OrderOutcome(
    State state, Optional<Long> revision, Optional<InForceReport> inForce, List<String> details) {

  /** How far orders are. */
  public enum State {
    /** Recorded; they take effect everywhere within seconds. */
    ACCEPTED,
    /** Carried out. */
    DONE,
    /** Tried, with no effect. */
    TRIED
  }

  /** Copies the list, so that the value cannot change. */
  public OrderOutcome {
    details = List.copyOf(details);
  }

  /** Orders that made no revision. */
  public static OrderOutcome of(State state, List<String> details) {
    return new OrderOutcome(state, Optional.empty(), Optional.empty(), details);
  }
}
