package org.marjoramsail.daemon.connection;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.net.impl.ConnectionBase;
import java.io.IOException;
import java.net.InetAddress;
import java.net.Socket;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.marjoramsail.daemon.fixture.AcceptQueue;
import org.marjoramsail.daemon.fixture.Waits;

@Timeout(60)
final class ListeningPortTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final String REQUEST = "GET / HTTP/1.1\r\nhost: desk\r\nconnection: close\r\n\r\n";

  /** More connections than the library accepts at once. */
  private static final int CALLERS = 50;

  private final Vertx vertx = Vertx.vertx();
  private final ListeningPort port = new ListeningPort(vertx);
  private final CompletableFuture<Channel> listening = new CompletableFuture<>();
  private int portNumber;

  @BeforeEach
  void listen() {
    HttpServer server =
        vertx
            .createHttpServer()
            .connectionHandler(this::opened)
            .requestHandler(request -> request.response().end());
    portNumber = Waits.get(server.listen(0, ADDRESS)).actualPort();
  }

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a reset of connections that wait in the accept queue as a port closes. */
  @Test
  void aPortThatClosesServesAllConnectionsInItsAcceptQueue() throws Exception {
    call();
    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      queue.add(CALLERS, portNumber, REQUEST);
      Future<Void> unused = port.close();
      queue.release();

      assertThat(queue.results()).hasSize(CALLERS).containsOnly("HTTP/1.1 200 OK");
    }
  }

  /** Guards against connections to a port that counts as closed, which are reset later. */
  @Test
  void aPortThatHasClosedRefusesConnectionsAtOnce() throws Exception {
    call();
    CompletableFuture<Boolean> connected = new CompletableFuture<>();
    ChannelFuture unused =
        listening.join().closeFuture().addListener(closed -> connected.complete(connects()));

    Waits.get(port.close());

    assertThat(connected.join()).isFalse();
  }

  /** Guards against the rest of a stop on another thread than its own. */
  @Test
  void aCloseCompletesOnTheContextOfItsCaller() throws Exception {
    call();
    Context context = vertx.getOrCreateContext();
    Promise<Context> completedOn = Promise.promise();

    context.runOnContext(
        begins -> {
          Future<Void> unused =
              port.close().onComplete(closed -> completedOn.complete(Vertx.currentContext()));
        });

    assertThat(Waits.get(completedOn.future())).isSameAs(context);
  }

  /** Guards against a port without callers that accepts them while its server is shut down. */
  @Test
  void aPortThatIsClosedBeforeItsFirstConnectionServesThatOneAndClosesThen() throws Exception {
    Waits.get(port.close());

    call();

    Waits.until("the port refuses connections", () -> !connects());
  }

  private void opened(HttpConnection connection) {
    port.accepted(connection);
    listening.complete(((ConnectionBase) connection).channelHandlerContext().channel().parent());
  }

  private void call() throws IOException {
    try (AcceptQueue queue = new AcceptQueue(vertx)) {
      assertThat(queue.add(1, portNumber, REQUEST).release().results())
          .containsExactly("HTTP/1.1 200 OK");
    }
  }

  private boolean connects() {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), portNumber)) {
      return socket.isConnected();
    } catch (IOException refused) {
      return false;
    }
  }
}
