package org.marjoramsail.core.outcome;

import java.util.Locale;

/** State of a request. */
public enum LifecycleState {
  RECEIVED,
  CLAIMING,
  PLACING,
  PREFILLING,
  GENERATING,
  PLAIN_RUNNING,
  BACKING_OFF,
  ENDED;

  /** Returns whether an upstream works on the request. */
  public boolean isRunning() {
    return this == PREFILLING || this == GENERATING || this == PLAIN_RUNNING;
  }

  /** Returns whether a response that reports a failure may still arrive. */
  boolean isAwaitingResponse(boolean outputReceived) {
    return this == PLAIN_RUNNING || (this == GENERATING && !outputReceived);
  }

  /** Returns the state in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
