package org.marjoramsail.standin.platform;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import io.vertx.core.http.HttpServerResponse;
import org.marjoramsail.standin.platform.StoreException.Reason;

/** Writes JSON answers and failures in the Kubernetes style. */
final class JsonResponses {

  private static final String RETRY_AFTER_SECONDS = "1";

  private JsonResponses() {}

  static void send(HttpServerResponse response, int code, ObjectNode answer) {
    if (response.closed() || response.ended()) {
      return;
    }
    response
        .setStatusCode(code)
        .putHeader("content-type", "application/json")
        .end(answer.toString());
  }

  static void fail(HttpServerResponse response, StoreException failure) {
    if (failure.reason() == Reason.TOO_MANY_REQUESTS || failure.reason() == Reason.UNAVAILABLE) {
      response.putHeader("retry-after", RETRY_AFTER_SECONDS);
    }
    send(response, failure.reason().code(), status(failure));
  }

  static ObjectNode status(StoreException failure) {
    return JsonNodeFactory.instance
        .objectNode()
        .put("kind", "Status")
        .put("status", "Failure")
        .put("reason", failure.reason().text())
        .put("message", failure.getMessage())
        .put("code", failure.reason().code());
  }
}
