package org.marjoramsail.daemon.caller;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Waits;

/** Callers that do not send their request. */
final class CallerTimeoutTest {

  private static final long HEADER_TIMEOUT_MILLIS = 1_000;
  private static final long BODY_TIMEOUT_MILLIS = 300;
  private static final long ENGINE_TIMEOUT_MILLIS = 60_000;
  private static final CallerLimits LIMITS =
      new CallerLimits(
          4,
          2_048,
          4_096,
          HEADER_TIMEOUT_MILLIS,
          BODY_TIMEOUT_MILLIS,
          64 * 1024,
          300,
          1_000_000,
          16);

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final CallerPath path = new CallerPath(vertx, LIMITS, List.of(), ENGINE_TIMEOUT_MILLIS);

  @AfterEach
  void close() {
    path.close();
  }

  /** Guards against connections that accumulate because callers send their body byte by byte. */
  @Test
  void aCallerThatDoesNotSendItsBodyIsRefusedAfterTheTimeout() {
    NetSocket socket = connect();
    AtomicReference<String> response = new AtomicReference<>("");
    socket.handler(bytes -> response.updateAndGet(text -> text + bytes));
    socket.write(
        "POST /v1/completions HTTP/1.1\r\nhost: a\r\nauthorization: Bearer "
            + CallerPath.TOKEN
            + "\r\ncontent-length: 100\r\n\r\n{");

    Waits.until("a refusal", () -> response.get().contains("request-timeout"));
    assertThat(response.get()).startsWith("HTTP/1.1 408");
  }

  /** Guards against connections that accumulate because callers send no request. */
  @Test
  void aConnectionWithoutARequestIsClosedAfterTheTimeout() {
    AtomicBoolean closed = new AtomicBoolean();
    connect().closeHandler(done -> closed.set(true));

    Waits.until("the connection is closed", closed::get);
  }

  private NetSocket connect() {
    return Waits.get(client.connect(path.port(), "127.0.0.1"));
  }
}
