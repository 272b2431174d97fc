package org.marjoramsail.daemon.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.Future;
import io.vertx.core.http.HttpServerResponse;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;

/** Writes refusals as problem documents. */
final class ProblemWriter {

  private static final String TYPE_PREFIX = "https://marjoramsail.org/problems/";
  private static final long MILLIS_PER_SECOND = 1_000;

  private final ObjectMapper json;

  ProblemWriter(ObjectMapper json) {
    this.json = json;
  }

  /**
   * Writes a complete response.
   *
   * @return completes when the response is written
   */
  Future<Void> write(HttpServerResponse response, RequestId request, Refusal refusal) {
    response.setStatusCode(refusal.reason().httpStatus());
    response.putHeader("content-type", "application/problem+json");
    long retryAfterSeconds = retryAfterSeconds(refusal);
    if (retryAfterSeconds > 0) {
      response.putHeader("retry-after", Long.toString(retryAfterSeconds));
    }
    return response.end(document(request, refusal).toString());
  }

  /** Returns the problem document of a refusal. */
  ObjectNode document(RequestId request, Refusal refusal) {
    String code = refusal.reason().code();
    return json.createObjectNode()
        .put("type", TYPE_PREFIX + code)
        .put("title", code.replace('-', ' '))
        .put("status", refusal.reason().httpStatus())
        .put("detail", refusal.detail())
        .put("reason", code)
        .put("run", refusal.runState().code())
        .put("request", request.value());
  }

  /**
   * Returns the retry time in seconds, rounded up; zero if a retry does not help or could run the
   * request twice.
   */
  private static long retryAfterSeconds(Refusal refusal) {
    boolean isRetryHarmless =
        refusal.runState() == RunState.NOT_RUN || refusal.retryAfterMillis().isPresent();
    if (!isRetryHarmless || !refusal.reason().isWorthRetrying()) {
      return 0;
    }
    long millis = refusal.retryAfterMillis().orElse(MILLIS_PER_SECOND);
    return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
  }
}
