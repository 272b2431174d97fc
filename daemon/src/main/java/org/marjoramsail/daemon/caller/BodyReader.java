package org.marjoramsail.daemon.caller;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import org.marjoramsail.core.failure.RefusalReason;

/** Reads request bodies within limits of size and time. */
final class BodyReader {

  private final Vertx vertx;
  private final CallerLimits limits;

  BodyReader(Vertx vertx, CallerLimits limits) {
    this.vertx = vertx;
    this.limits = limits;
  }

  /**
   * Reads a body.
   *
   * @return the body, or a failure with a {@link RejectedRequestException}
   */
  Future<Buffer> read(HttpServerRequest request) {
    Promise<Buffer> promise = Promise.promise();
    if (declaredLength(request) > limits.maximumBodyBytes()) {
      promise.fail(tooLarge(request.getHeader("content-length")));
      return promise.future();
    }
    // Guards against a caller that sends its body byte by byte and so holds a connection and its
    // buffer forever.
    long timer = vertx.setTimer(limits.bodyTimeoutMillis(), fired -> promise.tryFail(tooSlow()));
    Buffer body = Buffer.buffer();
    request.handler(
        bytes -> {
          if (body.length() + bytes.length() > limits.maximumBodyBytes()) {
            request.handler(null);
            promise.tryFail(tooLarge("more than " + body.length()));
          } else {
            body.appendBuffer(bytes);
          }
        });
    request.exceptionHandler(cause -> promise.tryFail(cause));
    request.endHandler(ended -> promise.tryComplete(body));
    return promise.future().onComplete(done -> vertx.cancelTimer(timer));
  }

  private static long declaredLength(HttpServerRequest request) {
    try {
      String length = request.getHeader("content-length");
      return length == null ? 0 : Long.parseLong(length.trim());
    } catch (NumberFormatException notNumber) {
      return 0;
    }
  }

  private RejectedRequestException tooLarge(String size) {
    return new RejectedRequestException(
        RefusalReason.BODY_TOO_LARGE,
        "The body has " + size + " bytes; allowed: " + limits.maximumBodyBytes() + ".");
  }

  private RejectedRequestException tooSlow() {
    return new RejectedRequestException(
        RefusalReason.REQUEST_TIMEOUT,
        "The body did not arrive in time; allowed: " + limits.bodyTimeoutMillis() + " ms.");
  }
}
