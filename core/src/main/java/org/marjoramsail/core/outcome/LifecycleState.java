package org.marjoramsail.core.outcome;

import java.util.Locale;

/** Where a request is. */
public enum LifecycleState {
  RECEIVED,
  CLAIMING,
  PLACING,
  PREFILLING,
  GENERATING,
  PLAIN_RUNNING,
  BACKING_OFF,
  ENDED;

  /** Whether an upstream works on it. */
  public boolean isRunning() {
    return this == PREFILLING || this == GENERATING || this == PLAIN_RUNNING;
  }

  /** The state in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
