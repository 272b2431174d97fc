package org.marjoramsail.daemon.operator;

import java.util.Locale;

/** Why an operator's request was refused; each has its HTTP status and its counter. */
public enum AdministrationFailure {
  MALFORMED(400),
  UNAUTHENTICATED(401),
  FORBIDDEN(403),
  NOT_FOUND(404),
  CONFLICT(409),
  TOO_LARGE(413),
  INVALID(422),
  TOO_MANY_REQUESTS(429),
  INTERNAL(500),
  NOT_SUPPORTED(501),
  STORE_UNAVAILABLE(503),
  /** Whether the order took effect is not known; the same order again tells it. */
  UNSETTLED(504);

  private final int httpStatus;

  AdministrationFailure(int httpStatus) {
    this.httpStatus = httpStatus;
  }

  /** The HTTP status of an answer with this failure. */
  public int httpStatus() {
    return httpStatus;
  }

  /** The failure in lower case with hyphens, as operators and counters see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
