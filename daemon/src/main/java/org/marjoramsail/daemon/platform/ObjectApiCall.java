package org.marjoramsail.daemon.platform;

import java.util.Optional;
import org.marjoramsail.daemon.platform.ObjectApiException.Failure;

/** What a call is about, for its failures and its counters. */
record ObjectApiCall(ObjectApiVerb verb, String kind, String name) {

  private static final long MILLIS_PER_SECOND = 1_000;

  ObjectApiException failed(Failure failure, String detail, Throwable cause) {
    return new ObjectApiException(failure, kind, name, detail, Optional.empty(), cause);
  }

  /** The failure that an answer with an error status means. */
  ObjectApiException refused(int status, String body, String retryAfter) {
    return new ObjectApiException(
        failure(status, body), kind, name, status + " " + body, millis(retryAfter), null);
  }

  private Failure failure(int status, String body) {
    return switch (status) {
      case 404 -> Failure.NOT_FOUND;
      case 409 -> body.contains("\"AlreadyExists\"") ? Failure.ALREADY_EXISTS : Failure.CONFLICT;
      case 410 -> Failure.VERSION_TOO_OLD;
      case 429 -> Failure.OVER_BUDGET;
      case 503 -> Failure.UNAVAILABLE;
      // Other errors of a server may come from a part before the store, after the store has acted.
      default -> status >= 500 ? verb.lostAnswer() : Failure.INVALID;
    };
  }

  private static Optional<Long> millis(String retryAfterSeconds) {
    if (retryAfterSeconds == null || !retryAfterSeconds.matches("\\d{1,9}")) {
      return Optional.empty();
    }
    return Optional.of(Long.parseLong(retryAfterSeconds) * MILLIS_PER_SECOND);
  }
}
