package org.marjoramsail.core.failure;

import java.util.Locale;

/**
 * The reason why a request ended without a response from an upstream.
 *
 * <p>Each reason has one counter and one HTTP status. Whether the request ran is reported
 * separately as a {@link RunState}.
 */
public enum RefusalReason {
  MALFORMED_REQUEST(400, false),
  UNAUTHENTICATED(401, false),
  FORBIDDEN(403, false),
  UNKNOWN_SERVICE(404, false),
  REQUEST_TIMEOUT(408, true),
  IDEMPOTENCY_CONFLICT(409, false),
  ALREADY_RUNNING(409, true),
  ALREADY_ANSWERED(409, false),
  RAN_BEFORE(409, false),
  BODY_TOO_LARGE(413, false),
  QUARANTINED(422, false),
  PROMPT_PART_QUARANTINED(422, false),
  HEADERS_TOO_LARGE(431, false),
  ORGANISATION_RATE(429, true),
  ORGANISATION_CONCURRENCY(429, true),
  PROMPT_TOO_LARGE(503, false),
  QUEUE_FULL(503, true),
  DEADLINE_UNREACHABLE(503, true),
  DEADLINE_PASSED(504, true),
  NO_UPSTREAM(503, true),
  NO_OWNER(503, true),
  VERSION_UNAVAILABLE(503, false),
  STREAM_UNKNOWN(503, true),
  NO_CONFIGURATION(503, true),
  ROUTES_UNCONFIRMED(503, true),
  STORE_UNAVAILABLE(503, true),
  STOPPING(503, true),
  CONNECTION_LIMIT(503, true),
  MEMORY_LIMIT(503, true),
  UPSTREAM_REFUSED(502, true),
  UPSTREAM_FAILED(502, true),
  RETRIES_EXHAUSTED(502, true),
  CALLER_GONE(499, false),
  SLOW_READER(499, false),
  INTERNAL(500, false);

  private final int httpStatus;
  private final boolean worthRetrying;

  RefusalReason(int httpStatus, boolean worthRetrying) {
    this.httpStatus = httpStatus;
    this.worthRetrying = worthRetrying;
  }

  /** Returns the HTTP status of a response with this reason. */
  public int httpStatus() {
    return httpStatus;
  }

  /**
   * Returns whether the same request may succeed later, so that the response states when to retry.
   */
  public boolean isWorthRetrying() {
    return worthRetrying;
  }

  /** Returns the reason in lower case with hyphens, as callers, operators and counters see it. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
