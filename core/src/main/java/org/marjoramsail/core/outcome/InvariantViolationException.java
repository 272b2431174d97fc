package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.RequestId;

/** A fault of the program itself: an invariant did not hold. Thrown in tests and the demo only. */
public final class InvariantViolationException extends IllegalStateException {

  private static final long serialVersionUID = 1L;

  private final Invariant invariant;

  /** Names what did not hold and for which request. */
  public InvariantViolationException(Invariant invariant, RequestId request) {
    super("Invariant " + invariant.code() + " does not hold for request " + request + ".");
    this.invariant = invariant;
  }

  /** What did not hold. */
  public Invariant invariant() {
    return invariant;
  }
}
