package org.marjoramsail.core.outcome;

import java.util.Locale;

/** How the wait for an attempt that had made no progress for too long ended. */
public enum SilenceOutcome {
  /** It made progress again before another attempt gave output. */
  RESUMED,
  /** Another attempt gave output first. */
  REPLACED,
  /** No other attempt was granted, or the other one failed, so that it goes on alone. */
  NOT_REPLACED,
  /** It failed, and another attempt goes on. */
  FAILED,
  /** The request ended. */
  ENDED;

  /** Returns the outcome in lower case with hyphens, as logs and counters show it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
