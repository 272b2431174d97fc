package org.marjoramsail.core.order;

import java.util.Optional;

/**
 * How far an engine says that it is with an order.
 *
 * @param order which
 * @param kind what it does
 * @param state how far
 * @param reason why it failed
 */
public record OrderProgress(
    String order, EngineOrderKind kind, State state, Optional<String> reason) {

  /** How far an order is. */
  public enum State {
    RUNNING,
    DONE,
    FAILED
  }
}
