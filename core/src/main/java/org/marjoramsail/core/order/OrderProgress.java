package org.marjoramsail.core.order;

import java.util.Optional;

/**
 * Progress of an order, as reported by the engine.
 *
 * @param order name of the order
 * @param kind kind of the order
 * @param state state of the order
 * @param reason reason of a failure
 */
public record OrderProgress(
    String order, EngineOrderKind kind, State state, Optional<String> reason) {

  /** States of an order. */
  public enum State {
    RUNNING,
    DONE,
    FAILED
  }
}
