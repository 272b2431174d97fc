package org.marjoramsail.daemon.upstream;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.buffer.Buffer;
import java.io.IOException;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.outcome.UpstreamFailure;

/**
 * Body of a refusal by an engine.
 *
 * @param reason the reason for the refusal
 * @param run whether the engine ran the request, as a code of {@link RunState}
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record RefusalBody(String reason, String run) {

  private static final String LEAVING = "leaving";
  private static final int NOT_FOUND = 404;
  private static final int GONE = 410;
  private static final int BAD_GATEWAY = 502;

  /** Returns the failure that a response other than 200 indicates. */
  static UpstreamFailure failure(ObjectMapper json, int status, Buffer body) {
    RefusalBody refusal;
    try {
      refusal = json.readValue(body.getBytes(), RefusalBody.class);
    } catch (IOException malformed) {
      return UpstreamFailure.MALFORMED;
    }
    return refusal.failure(status);
  }

  private UpstreamFailure failure(int status) {
    // An engine responds with 404 before it runs anything, since it does not have the model.
    if (!RunState.NOT_RUN.code().equals(run) && status != NOT_FOUND) {
      return UpstreamFailure.MALFORMED;
    }
    if (status == GONE) {
      return UpstreamFailure.KV_EXPIRED;
    }
    if (status == BAD_GATEWAY) {
      return UpstreamFailure.TRANSFER_FAILED;
    }
    return LEAVING.equals(reason) ? UpstreamFailure.LEAVING : UpstreamFailure.REFUSED;
  }
}
