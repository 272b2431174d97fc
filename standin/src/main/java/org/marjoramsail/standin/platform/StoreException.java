package org.marjoramsail.standin.platform;

import org.marjoramsail.core.failure.MarjoramsailException;

/** A call that the object store refuses; it changed nothing. */
final class StoreException extends MarjoramsailException {

  private static final long serialVersionUID = 1L;

  /** Why a call is refused, with its status code and its reason in the Kubernetes style. */
  enum Reason {
    BAD_REQUEST(400, "BadRequest"),
    NOT_FOUND(404, "NotFound"),
    METHOD_NOT_ALLOWED(405, "MethodNotAllowed"),
    ALREADY_EXISTS(409, "AlreadyExists"),
    CONFLICT(409, "Conflict"),
    EXPIRED(410, "Expired"),
    TOO_LARGE(413, "RequestEntityTooLarge"),
    TOO_MANY_REQUESTS(429, "TooManyRequests"),
    UNAVAILABLE(503, "ServiceUnavailable");

    private final int code;
    private final String text;

    Reason(int code, String text) {
      this.code = code;
      this.text = text;
    }

    int code() {
      return code;
    }

    String text() {
      return text;
    }
  }

  private final Reason reason;

  StoreException(Reason reason, String detail) {
    super(detail);
    this.reason = reason;
  }

  Reason reason() {
    return reason;
  }
}
