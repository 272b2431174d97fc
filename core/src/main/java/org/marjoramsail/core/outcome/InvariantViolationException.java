package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.RequestId;

/**
 * Reports a violated invariant, a fault of the program itself; thrown in tests and in the demo
 * only.
 */
public final class InvariantViolationException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final Invariant invariant;

  /** Creates an exception for an invariant and the request that violates it. */
  public InvariantViolationException(Invariant invariant, RequestId request) {
    super("Invariant " + invariant.code() + " does not hold for request " + request + ".");
    this.invariant = invariant;
  }

  /** Returns the violated invariant. */
  public Invariant invariant() {
    return invariant;
  }
}
