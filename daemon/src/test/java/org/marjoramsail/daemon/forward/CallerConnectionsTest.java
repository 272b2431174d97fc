package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.Waits;

@Timeout(60)
final class CallerConnectionsTest {

  private static final int IDLE_MILLIS = 1_000;
  private static final long RESPONSE_MILLIS = 5 * IDLE_MILLIS / 2;
  private static final int PATIENCE_MILLIS = 20_000;
  private static final String REQUEST =
      "GET / HTTP/1.1\r\nhost: desk.example\r\nconnection: close\r\n\r\n";

  private final Vertx vertx = Vertx.vertx();
  private final CallerConnections connections = new CallerConnections(vertx, headers -> "");

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against an idle timeout that closes a connection whose request is still running. */
  @Test
  void aConnectionIsNotIdleWhileARequestRunsOnIt() throws IOException {
    HttpServer server = Waits.get(server().listen(0, "127.0.0.1"));

    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(1, server.actualPort(), REQUEST).release();

      assertThat(queue.results()).containsExactly("HTTP/1.1 200 OK");
    }
  }

  /** Guards against connections that nobody uses and that stay open. */
  @Test
  void aConnectionWithoutARequestIsClosedOnceItIsIdle() throws IOException {
    HttpServer server = Waits.get(server().listen(0, "127.0.0.1"));

    try (Socket caller = new Socket(InetAddress.getLoopbackAddress(), server.actualPort())) {
      caller.setSoTimeout(PATIENCE_MILLIS);

      assertThat(caller.getInputStream().read()).isNegative();
    }
  }

  private HttpServer server() {
    return vertx
        .createHttpServer(
            new HttpServerOptions()
                .setIdleTimeout(IDLE_MILLIS)
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS))
        .connectionHandler(connections::opened)
        .requestHandler(this::receive);
  }

  private void receive(HttpServerRequest request) {
    request.response().endHandler(ended -> connections.responseEnded(request));
    request.endHandler(
        ended -> {
          connections.requestBegins(request);
          vertx.setTimer(RESPONSE_MILLIS, passed -> request.response().end());
        });
  }
}
