package org.marjoramsail.daemon.forward;

import io.vertx.core.http.HttpServerRequest;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Optional;

/**
 * Converts the target of a request between its bytes and text.
 *
 * <p>The HTTP server reads one character from each byte, and the HTTP client writes text in UTF-8.
 * A byte above 127 that is passed on as it was read becomes two.
 */
final class RequestTarget {

  private static final int LAST_ASCII = 127;

  private RequestTarget() {}

  /**
   * Returns the target of a request; the text that was read if it cannot be passed on unchanged.
   */
  static String of(HttpServerRequest request) {
    return toForward(request.uri()).orElse(request.uri());
  }

  /** Returns the path of a request; the text that was read if it cannot be passed on unchanged. */
  static String pathOf(HttpServerRequest request) {
    return toForward(request.path()).orElse(request.path());
  }

  /**
   * Returns the text that is written as the bytes that were read.
   *
   * @param read target with one character for each byte
   * @return empty if the bytes are no UTF-8, which cannot be passed on unchanged
   */
  static Optional<String> toForward(String read) {
    if (read.chars().allMatch(character -> character <= LAST_ASCII)) {
      return Optional.of(read);
    }
    byte[] bytes = read.getBytes(StandardCharsets.ISO_8859_1);
    try {
      return Optional.of(
          StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString());
    } catch (CharacterCodingException invalid) {
      return Optional.empty();
    }
  }
}
