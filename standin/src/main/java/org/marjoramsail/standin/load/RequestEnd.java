package org.marjoramsail.standin.load;

import java.util.Locale;

/** How a request ended, as its caller saw it. */
public enum RequestEnd {
  /** The whole answer came, once, and each token was the right one. */
  COMPLETED(false),
  /** A refusal with a typed reason came instead of an answer. */
  REFUSED(false),
  /** The answer began, and then the caller was told with a typed reason that it failed. */
  FAILED(false),
  /** An error status came without a typed reason. */
  UNTYPED(true),
  /** The connection broke before the answer was whole. */
  CUT(true),
  /** The connection broke because the daemon that held it was ended on purpose. */
  DAEMON_DIED(false),
  /** The answer is not the one to this request, or is said to be whole and is not. */
  WRONG(true),
  /** Some of the answer came twice. */
  ANSWERED_TWICE(true),
  /** Nothing came, neither an answer nor a refusal, until well after the deadline. */
  LOST(true),
  /** The caller gave up as planned. */
  CANCELLED(false),
  /** No target took the connection, so that nothing was sent. */
  NOT_SENT(false);

  private final boolean violation;

  RequestEnd(boolean violation) {
    this.violation = violation;
  }

  /** Whether no request may end so while all daemons live. */
  public boolean isViolation() {
    return violation;
  }

  /** Its name in reports: lower case with hyphens. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
