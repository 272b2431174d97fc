package org.marjoramsail.core.feedback;

import java.util.Locale;

/** Change of a host's feedback table by the feedback of an upstream. */
public enum FeedbackChange {
  /** The upstream sent a rate limit and had none before. */
  LIMIT_STATED,
  /** The upstream sent a different rate limit. */
  LIMIT_CHANGED,
  /** The upstream no longer sends a rate limit. */
  LIMIT_ENDED,
  /** The upstream reported that it is draining. */
  LEAVING_STATED,
  /** The upstream requested a pause. */
  PAUSE_ASKED,
  /** Some of the feedback was invalid and was ignored. */
  UNREADABLE;

  /** Returns the change in lower case with hyphens, as operators see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
