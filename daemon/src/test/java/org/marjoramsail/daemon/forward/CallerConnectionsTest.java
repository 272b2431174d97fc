package org.marjoramsail.daemon.forward;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.NetClient;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.Waits;

@Timeout(60)
final class CallerConnectionsTest {

  private static final int IDLE_MILLIS = 1_000;
  private static final long RESPONSE_MILLIS = 5 * IDLE_MILLIS / 2;

  private final Vertx vertx = Vertx.vertx();
  private final HttpClient httpClient = vertx.createHttpClient(new PoolOptions());
  private final NetClient netClient = vertx.createNetClient();
  private final CallerConnections connections = new CallerConnections(vertx, headers -> "");

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against an idle timeout that closes a connection whose request is still running. */
  @Test
  void aConnectionIsNotIdleWhileARequestRunsOnIt() {
    HttpServer server = Waits.get(server().listen(0, "127.0.0.1"));

    int status =
        Waits.get(
            httpClient
                .request(
                    new RequestOptions()
                        .setMethod(HttpMethod.GET)
                        .setHost("127.0.0.1")
                        .setPort(server.actualPort())
                        .setURI("/"))
                .compose(request -> request.send())
                .map(response -> response.statusCode()));

    assertThat(status).isEqualTo(200);
  }

  /** Guards against connections that nobody uses and that stay open. */
  @Test
  void aConnectionWithoutARequestIsClosedOnceItIsIdle() {
    HttpServer server = Waits.get(server().listen(0, "127.0.0.1"));
    Promise<Void> closed = Promise.promise();

    Waits.get(
        netClient
            .connect(server.actualPort(), "127.0.0.1")
            .onSuccess(socket -> socket.closeHandler(closed::complete)));

    Waits.get(closed.future());
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
