package org.marjoramsail.daemon.caller;

import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.marjoramsail.daemon.fixture.CallerPath;
import org.marjoramsail.daemon.fixture.Waits;

/** Connections over the limit, with timeouts that do not end the others meanwhile. */
final class ConnectionLimitTest {

  private static final long TIMEOUT_MILLIS = 60_000;
  private static final CallerLimits LIMITS =
      new CallerLimits(
          4, 2_048, 4_096, TIMEOUT_MILLIS, 300, 64 * 1024, TIMEOUT_MILLIS, 1_000_000, 16);

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();
  private final CallerPath path = new CallerPath(vertx, LIMITS, List.of(), TIMEOUT_MILLIS);

  @AfterEach
  void close() {
    path.close();
  }

  /** Guards against one client that opens all available connections. */
  @Test
  void aConnectionOverTheLimitGetsATypedRefusal() {
    for (int index = 0; index < LIMITS.maximumConnections(); index++) {
      connect();
    }
    Waits.until(
        "all connections are open",
        () -> path.server().openConnections() >= LIMITS.maximumConnections());
    AtomicReference<String> response = new AtomicReference<>("");
    NetSocket socket = connect();
    socket.handler(bytes -> response.updateAndGet(text -> text + bytes));
    socket.write("GET /v1/completions HTTP/1.1\r\nhost: a\r\n\r\n");

    Waits.until("a refusal", () -> response.get().contains("connection-limit"));
  }

  private NetSocket connect() {
    return Waits.get(client.connect(path.port(), "127.0.0.1"));
  }
}
