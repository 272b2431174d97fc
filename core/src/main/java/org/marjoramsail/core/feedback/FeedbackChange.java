package org.marjoramsail.core.feedback;

import java.util.Locale;

/** How a statement changed what a host believes of an upstream. */
public enum FeedbackChange {
  LIMIT_STATED,
  LIMIT_CHANGED,
  LIMIT_ENDED,
  LEAVING_STATED,
  PAUSE_ASKED,
  /** Nothing changed, since what was said means nothing. */
  UNREADABLE;

  /** The word that operators see. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
