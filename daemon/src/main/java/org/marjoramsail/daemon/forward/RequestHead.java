package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.Map;
import java.util.Optional;

/** What the head of a request states. */
final class RequestHead {

  /** Bytes of a header besides its name and value: a colon, a space and the line end. */
  private static final int HEADER_SEPARATORS = 4;

  private RequestHead() {}

  /** Returns the approximate size of the request line and headers. */
  static int bytes(HttpServerRequest request) {
    int bytes = request.uri().length();
    for (Map.Entry<String, String> header : request.headers()) {
      bytes += header.getKey().length() + header.getValue().length() + HEADER_SEPARATORS;
    }
    return bytes;
  }

  /** Returns the stated size of the body; negative if there is none. */
  static long declaredBodyBytes(HttpServerRequest request) {
    String declared = request.getHeader("content-length");
    try {
      return declared == null ? -1 : Long.parseLong(declared.strip());
    } catch (NumberFormatException malformed) {
      return -1;
    }
  }

  /** Returns the value of the host header; empty if there is none. */
  static String host(HttpServerRequest request) {
    return Optional.ofNullable(request.getHeader("host")).orElse("");
  }

  /** Returns whether a body may follow the head. */
  static boolean mayHaveBody(HttpServerRequest request) {
    return !request.method().equals(HttpMethod.GET)
        || request.headers().contains("content-length")
        || request.headers().contains("transfer-encoding");
  }
}
