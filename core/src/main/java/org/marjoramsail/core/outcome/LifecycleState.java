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

  /** Returns the state in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
