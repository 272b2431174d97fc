package org.marjoramsail.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Waits;

/** Callers that do not send their request. */
@Timeout(60)
final class CallerTimeoutTest {

  private static final long SHORT_TIMEOUT_MILLIS = 300;

  /** Exceeds the time that a client on a busy machine needs to send a part of a request. */
  private static final long LONG_TIMEOUT_MILLIS = 60_000;

  private static final int PATIENCE_MILLIS = 20_000;

  private final Vertx vertx = Vertx.vertx();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against connections that accumulate because callers send their body byte by byte. */
  @Test
  void aCallerThatDoesNotSendItsBodyIsRefusedAfterTheTimeout() throws IOException {
    String request =
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
            + CallerPath.TOKEN
            + "\r\ncontent-length: 100\r\n\r\n{";

    try (Socket caller = connect(LONG_TIMEOUT_MILLIS, SHORT_TIMEOUT_MILLIS)) {
      caller.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));

      assertThat(readToEnd(caller)).startsWith("HTTP/1.1 408").contains("request-timeout");
    }
  }

  /** Guards against connections that accumulate because callers send no request. */
  @Test
  void aConnectionWithoutARequestIsClosedAfterTheTimeout() throws IOException {
    try (Socket caller = connect(SHORT_TIMEOUT_MILLIS, LONG_TIMEOUT_MILLIS)) {
      assertThat(readToEnd(caller)).isEmpty();
    }
  }

  private Socket connect(long headerTimeoutMillis, long bodyTimeoutMillis) throws IOException {
    CallerLimits limits =
        new CallerLimits(
            4, 2_048, 4_096, headerTimeoutMillis, bodyTimeoutMillis, 64 * 1024, 300, 1_000_000, 16);
    CallerPath path = new CallerPath(vertx, limits, List.of(), LONG_TIMEOUT_MILLIS);
    Socket caller = new Socket(InetAddress.getLoopbackAddress(), path.port());
    caller.setSoTimeout(PATIENCE_MILLIS);
    return caller;
  }

  /** Reads until the server has closed the connection. */
  private static String readToEnd(Socket caller) throws IOException {
    return new String(caller.getInputStream().readAllBytes(), StandardCharsets.US_ASCII);
  }
}
