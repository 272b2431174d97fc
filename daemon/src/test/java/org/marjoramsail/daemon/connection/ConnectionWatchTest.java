package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetServerOptions;
import io.vertx.core.net.NetSocket;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.concurrent.atomic.AtomicBoolean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.daemon.fixture.Waits;

/** Connections that end behind a complete response of which the client has not read the body. */
final class ConnectionWatchTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final int RESET = 0;
  private static final int ORDERLY_END = -1;

  /** More than the buffers of a connection hold. */
  private static final int EXTRA_BYTES = 64 << 20;

  private static final Buffer RESPONSE =
      Buffer.buffer("HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nbody");

  private static final ConnectionWatch.Listener IGNORED =
      new ConnectionWatch.Listener() {
        @Override
        public void unrequested() {}

        @Override
        public void malformed(MalformedHeadException cause) {}
      };

  private final Vertx vertx = Vertx.vertx();
  private final HttpClientAgent client = vertx.createHttpClient();
  private final Promise<NetSocket> upstream = Promise.promise();
  private final Promise<Buffer> body = Promise.promise();
  private final AtomicBoolean closed = new AtomicBoolean();
  private ConnectionWatch watch;

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a body that is lost, and a client that keeps a connection which has ended. */
  @ParameterizedTest
  @ValueSource(ints = {ORDERLY_END, RESET})
  void theEndIsReportedOnceTheResponseIsDelivered(int lingerSeconds) {
    HttpClientConnection connection = connect(lingerSeconds);
    Channel channel = channelOf(connection);
    connection.closeHandler(ended -> closed.set(true));

    HttpClientResponse response = Waits.get(pausedResponse(connection));
    Waits.get(Waits.get(upstream.future()).close());
    Waits.until("the connection has ended", () -> !channel.isActive());
    onEventLoop(channel, response::resume);

    assertThat(Waits.get(body.future())).hasToString("body");
    assertThat(closed).isFalse();
    onEventLoop(channel, watch::delivered);
    Waits.until("the client has closed it", closed::get);
  }

  /** Guards against an upstream that sends without end behind a response that is paused. */
  @Test
  void whatFollowsAResponseIsNotReadUntilThatIsDelivered() {
    HttpClientConnection connection = connect(ORDERLY_END);
    Channel channel = channelOf(connection);

    HttpClientResponse response = Waits.get(pausedResponse(connection));
    Future<Void> written = Waits.get(upstream.future()).write(Buffer.buffer(new byte[EXTRA_BYTES]));
    Waits.until(
        "nothing more is read", () -> !channel.config().isAutoRead() || written.isComplete());
    onEventLoop(channel, response::resume);

    assertThat(Waits.get(body.future())).hasToString("body");
    assertThat(written.isComplete()).isFalse();
    onEventLoop(channel, watch::delivered);
    Waits.until("the connection is closed", written::failed);
  }

  private HttpClientConnection connect(int lingerSeconds) {
    NetServer server =
        vertx
            .createNetServer(new NetServerOptions().setSoLinger(lingerSeconds))
            .connectHandler(
                socket ->
                    socket.handler(
                        request -> {
                          upstream.complete(socket);
                          Future<Void> unused = socket.write(RESPONSE);
                        }));
    int port = Waits.get(server.listen(0, ADDRESS)).actualPort();
    return Waits.get(client.connect(new HttpConnectOptions().setHost(ADDRESS).setPort(port)));
  }

  private static ConnectionBase within(HttpClientConnection connection) {
    // The connection may be a wrapper, of which the method returns the connection within.
    return (ConnectionBase) connection.exceptionHandler(ignored -> {});
  }

  private static Channel channelOf(HttpClientConnection connection) {
    return within(connection).channelHandlerContext().channel();
  }

  /** Sends a request; returns its response, which is paused. */
  private Future<HttpClientResponse> pausedResponse(HttpClientConnection connection) {
    return connection
        .request()
        .compose(
            request -> {
              watch = ConnectionWatch.of(within(connection), IGNORED);
              watch.expectDelivery();
              return request
                  .send()
                  .map(
                      response -> {
                        response.pause();
                        response.body().onComplete(body);
                        return response;
                      });
            });
  }

  private static void onEventLoop(Channel channel, Runnable task) {
    channel.eventLoop().execute(task);
  }
}
