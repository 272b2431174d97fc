package org.marjoramsail.standin.network;

import static org.assertj.core.api.Assertions.assertThat;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

@Timeout(60)
final class LinkStandInTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final long PATIENCE_SECONDS = 30;
  private static final int LINES = 500;

  private final Vertx vertx = Vertx.vertx();
  private final NetClient client = vertx.createNetClient();

  @AfterEach
  void close() throws Exception {
    await(vertx.close());
  }

  /** Retransmissions are due 200, 600, 1,400, 3,000 and 6,200 ms after the first transmission. */
  @ParameterizedTest
  @CsvSource({"0, 200", "200, 0", "201, 399", "1400, 0", "3001, 3199", "6200, 0"})
  void heldBytesAreDeliveredWithTheNextRetransmission(long heldMillis, long delayMillis) {
    assertThat(LinkStandIn.retransmissionDelayMillis(heldMillis)).isEqualTo(delayMillis);
  }

  /** Guards against a path on which the end of a connection overtakes its last bytes. */
  @ParameterizedTest
  @ValueSource(longs = {0, 5})
  void aPathDeliversAllBytesInTheirOrderBeforeTheEndOfTheConnection(long pathMillis)
      throws Exception {
    NetServer server = vertx.createNetServer().connectHandler(LinkStandInTest::writeLines);
    int port = await(server.listen(0, ADDRESS)).actualPort();
    int entrance = await(path(pathMillis).start(ADDRESS, port));
    Promise<String> received = Promise.promise();

    vertx.runOnContext(
        begins ->
            client
                .connect(entrance, ADDRESS)
                .onSuccess(socket -> collect(socket, received))
                .onFailure(received::fail));

    assertThat(await(received.future()).split("\n"))
        .hasSize(LINES)
        .startsWith("0")
        .endsWith(Integer.toString(LINES - 1));
  }

  @ParameterizedTest
  @ValueSource(longs = {0, 5})
  void aPathTellsThePortOfACallerThatItsServerRefuses(long pathMillis) throws Exception {
    LinkStandIn path = path(pathMillis);
    Promise<Integer> refused = Promise.promise();
    path.onRefused(refused::complete);
    try (Socket refusing = bound()) {
      int entrance = await(path.start(ADDRESS, refusing.getLocalPort()));

      NetSocket caller = await(client.connect(entrance, ADDRESS));

      assertThat(await(refused.future())).isEqualTo(caller.localAddress().port());
    }
  }

  /** Guards against a connection to a server that stays open without its caller. */
  @Test
  void aPathClosesTheConnectionOfACallerThatLeavesBeforeItReachesTheServer() throws Exception {
    Promise<Void> closed = Promise.promise();
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(socket -> socket.closeHandler(end -> closed.complete()));
    int port = await(server.listen(0, ADDRESS)).actualPort();
    int entrance = await(path(50).start(ADDRESS, port));

    NetSocket caller = await(client.connect(entrance, ADDRESS));
    await(caller.close());

    await(closed.future());
  }

  /** Guards against a cut of some callers that also stops the others. */
  @Test
  void aPathThatIsCutForSomeCallersHoldsOnlyTheirBytes() throws Exception {
    LinkStandIn path = path(0);
    int entrance = await(path.start(ADDRESS, echo()));
    NetSocket cut = await(client.connect(entrance, ADDRESS));
    NetSocket open = await(client.connect(entrance, ADDRESS));
    Future<String> cutFirst = answer(cut, "a");
    Future<String> openFirst = answer(open, "b");
    await(Future.all(cutFirst, openFirst));
    Set<Integer> ports = Set.of(cut.localAddress().port());
    path.cut(() -> Future.succeededFuture(ports));
    NetSocket later = await(client.connect(entrance, ADDRESS));

    Future<String> held = answer(cut, "c");

    assertThat(await(answer(open, "d"))).isEqualTo("d");
    assertThat(await(answer(later, "e"))).isEqualTo("e");
    assertThat(held.isComplete()).isFalse();
    path.restore();
    assertThat(await(held)).isEqualTo("c");
  }

  /** Guards against a cut that begins after its end, and then lasts. */
  @Test
  void aCutThatEndsBeforeItsCallersAreKnownHoldsNothing() throws Exception {
    LinkStandIn path = path(0);
    int entrance = await(path.start(ADDRESS, echo()));
    NetSocket earlier = await(client.connect(entrance, ADDRESS));
    await(answer(earlier, "a"));
    Promise<Set<Integer>> ports = Promise.promise();
    path.cut(ports::future);
    NetSocket later = await(client.connect(entrance, ADDRESS));
    Future<String> waiting = answer(later, "b");

    path.restore();
    ports.complete(Set.of(earlier.localAddress().port(), later.localAddress().port()));

    assertThat(await(waiting)).isEqualTo("b");
    assertThat(await(answer(earlier, "c"))).isEqualTo("c");
  }

  private int echo() throws Exception {
    NetServer server =
        vertx.createNetServer().connectHandler(socket -> socket.handler(socket::write));
    return await(server.listen(0, ADDRESS)).actualPort();
  }

  private static Future<String> answer(NetSocket socket, String text) {
    Promise<String> answer = Promise.promise();
    socket.handler(bytes -> answer.tryComplete(bytes.toString()));
    socket.write(text);
    return answer.future();
  }

  private LinkStandIn path(long pathMillis) {
    return new LinkStandIn(vertx, () -> 0, heldMillis -> 0, pathMillis);
  }

  /** Returns a socket that holds a port and does not listen, so that connections are refused. */
  private static Socket bound() throws IOException {
    Socket socket = new Socket();
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    return socket;
  }

  private static void writeLines(NetSocket socket) {
    for (int line = 0; line < LINES; line++) {
      socket.write(line + "\n");
    }
    socket.end();
  }

  /** Collects all bytes of a connection, on its event loop in the turn in which it opens. */
  private static void collect(NetSocket socket, Promise<String> received) {
    Buffer bytes = Buffer.buffer();
    socket.handler(bytes::appendBuffer);
    socket.closeHandler(end -> received.complete(bytes.toString()));
  }

  private static <T> T await(Future<T> future) throws Exception {
    return future.toCompletionStage().toCompletableFuture().get(PATIENCE_SECONDS, TimeUnit.SECONDS);
  }
}
