package org.marjoramsail.daemon.caller;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.marjoramsail.core.failure.RefusalReason;

/**
 * Parameters of a request that its caller sends in headers.
 *
 * @param idempotencyKey identifies the operation across retries of the caller
 * @param deadlineMillis time within which the caller needs a response, in milliseconds
 */
record CallerHeaders(Optional<String> idempotencyKey, Optional<Long> deadlineMillis) {

  static final String IDEMPOTENCY_KEY = "idempotency-key";
  private static final String DEADLINE = "marjoramsail-deadline-millis";
  private static final int MAXIMUM_KEY_CHARACTERS = 255;

  static CallerHeaders of(HttpServerRequest request) throws RejectedRequestException {
    return new CallerHeaders(key(request), deadline(request));
  }

  private static Optional<String> key(HttpServerRequest request) throws RejectedRequestException {
    String key = request.getHeader(IDEMPOTENCY_KEY);
    if (key != null && (key.isBlank() || key.length() > MAXIMUM_KEY_CHARACTERS)) {
      throw invalid(IDEMPOTENCY_KEY, key, "1 to " + MAXIMUM_KEY_CHARACTERS + " characters");
    }
    return Optional.ofNullable(key);
  }

  private static Optional<Long> deadline(HttpServerRequest request)
      throws RejectedRequestException {
    String value = request.getHeader(DEADLINE);
    if (value == null) {
      return Optional.empty();
    }
    try {
      long millis = Long.parseLong(value.trim());
      if (millis > 0) {
        return Optional.of(millis);
      }
    } catch (NumberFormatException notNumber) {
      throw invalid(DEADLINE, value, "a whole number of milliseconds above zero");
    }
    throw invalid(DEADLINE, value, "a whole number of milliseconds above zero");
  }

  private static RejectedRequestException invalid(String header, String value, String allowed) {
    return new RejectedRequestException(
        RefusalReason.MALFORMED_REQUEST,
        "The header " + header + " is \"" + value + "\"; allowed: " + allowed + ".");
  }
}
