package org.marjoramsail.daemon.forward;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Locale;
import java.util.Map;
import java.util.random.RandomGenerator;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Writes refusals to callers.
 *
 * <p>The status of a request that was not run promises this, with a time after which the caller may
 * retry. The status of a request that may have run promises nothing.
 */
final class RefusalWriter {

  private static final int NOT_RUN_STATUS = 503;
  private static final int MAY_HAVE_RUN_STATUS = 502;
  private static final int TIMED_OUT_STATUS = 504;
  private static final int FIRST_CLIENT_ERROR = 400;
  private static final int FIRST_SERVER_ERROR = 500;
  private static final int UNPROCESSABLE_STATUS = 422;
  private static final int TOO_MANY_STATUS = 429;

  /** Retry time of refusals that give none, in milliseconds. */
  private static final long DEFAULT_RETRY_MILLIS = 150;

  /** Share of the retry time by which retries of callers that were refused together are spread. */
  private static final double RETRY_JITTER = 0.4;

  private static final double MILLIS_PER_SECOND = 1_000;

  /** Time in which a caller may read what was written of a response that is broken off. */
  private static final long MAXIMUM_READ_MILLIS = 3_000;

  private final ForwardingProtocol protocol;
  private final ObjectMapper json;
  private final RandomGenerator random;
  private final ConnectionCloseHeader connectionCloseHeader;

  RefusalWriter(
      ForwardingProtocol protocol,
      ObjectMapper json,
      RandomGenerator random,
      ConnectionCloseHeader connectionCloseHeader) {
    this.protocol = protocol;
    this.json = json;
    this.random = random;
    this.connectionCloseHeader = connectionCloseHeader;
  }

  /** Ends a request. A response that has begun is reset, so that it cannot look complete. */
  void write(HttpServerRequest caller, String attempt, Refusal refusal) {
    HttpServerResponse response = caller.response();
    if (response.closed() || response.ended()) {
      return;
    }
    if (response.headWritten()) {
      response.reset();
      closeUnlessRead(caller.connection());
      return;
    }
    int status = statusOf(refusal);
    response.setStatusCode(status);
    boolean isNotRun = status == NOT_RUN_STATUS || status == TOO_MANY_STATUS;
    if (isNotRun && refusal.reason().isWorthRetrying()) {
      response.putHeader("retry-after", retryAfter(refusal));
    }
    protocol.addAttempt(response.headers(), attempt);
    response.putHeader("content-type", "application/json");
    connectionCloseHeader.addIfStopping(response);
    response.end(body(refusal));
  }

  /** The library closes the connection only once what was written before has been read. */
  private static void closeUnlessRead(HttpConnection connection) {
    Vertx.currentContext()
        .owner()
        .setTimer(MAXIMUM_READ_MILLIS, fired -> ForcedClose.close(connection));
  }

  private static int statusOf(Refusal refusal) {
    int reasonStatus = refusal.reason().httpStatus();
    boolean isClientError =
        reasonStatus >= FIRST_CLIENT_ERROR
            && reasonStatus < FIRST_SERVER_ERROR
            && reasonStatus != UNPROCESSABLE_STATUS;
    if (isClientError && !refusal.reason().isWorthRetrying()) {
      return reasonStatus;
    }
    if (refusal.runState() == RunState.NOT_RUN) {
      return reasonStatus == TOO_MANY_STATUS ? reasonStatus : NOT_RUN_STATUS;
    }
    return refusal.reason() == RefusalReason.DEADLINE_PASSED
        ? TIMED_OUT_STATUS
        : MAY_HAVE_RUN_STATUS;
  }

  private String retryAfter(Refusal refusal) {
    long millis = refusal.retryAfterMillis().orElse(DEFAULT_RETRY_MILLIS);
    double jittered = millis * (1 + RETRY_JITTER * random.nextDouble());
    return String.format(Locale.ROOT, "%.3f", jittered / MILLIS_PER_SECOND);
  }

  private String body(Refusal refusal) {
    Map<String, String> fields =
        Map.of(
            "reason", refusal.reason().code(),
            "run", refusal.runState().code(),
            "detail", refusal.detail());
    return json.valueToTree(fields).toString();
  }
}
