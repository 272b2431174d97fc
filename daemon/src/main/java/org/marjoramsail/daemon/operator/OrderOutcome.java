package org.marjoramsail.daemon.operator;

import java.util.List;
import java.util.Optional;

/**
 * What became of orders that were not refused.
 *
 * @param state how far they are
 * @param revision the revision of the configuration that they made
 * @param details what they change, one line each
 */
public record OrderOutcome(State state, Optional<Long> revision, List<String> details) {

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
}
