package org.marjoramsail.standin.platform;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerResponse;
import org.marjoramsail.core.time.Clock;

/** Sends weights, which are zeros, at a rate that all loads share. */
final class WeightHandler {

  private static final int CHUNK_BYTES = 256 * 1_024;

  private final Vertx vertx;
  private final Clock clock;
  private final PlatformSettings.Weights weights;
  private final SharedLink link;

  WeightHandler(Vertx vertx, Clock clock, PlatformSettings.Weights weights) {
    this.vertx = vertx;
    this.clock = clock;
    this.weights = weights;
    this.link = new SharedLink(weights.bytesPerSecond());
  }

  void handle(HttpServerResponse response) {
    response.putHeader("content-type", "application/octet-stream");
    response.putHeader("content-length", Long.toString(weights.bytes()));
    sendChunk(response, weights.bytes());
  }

  private void sendChunk(HttpServerResponse response, long bytesLeft) {
    if (response.closed()) {
      return;
    }
    if (bytesLeft == 0) {
      response.end();
      return;
    }
    int chunk = (int) Math.min(CHUNK_BYTES, bytesLeft);
    long waitMillis = Math.max(1, link.book(chunk, clock.millis()));
    vertx.setTimer(
        waitMillis,
        unused ->
            response
                .write(Buffer.buffer(new byte[chunk]))
                .onSuccess(written -> sendChunk(response, bytesLeft - chunk)));
  }
}
