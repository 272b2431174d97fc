package org.marjoramsail.daemon.platform;

import static org.assertj.core.api.Assertions.assertThat;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.Queue;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.daemon.fixture.Waits;

/** A platform that falls silent on a connection, and responds on others. */
@Timeout(60)
final class HostListSilenceTest {

  private static final String ADDRESS = "127.0.0.1";
  private static final long ANSWER_TIMEOUT_MILLIS = 100;
  private static final String LIST = "{\"hosts\":[],\"ageMillis\":1}";

  private final Vertx vertx = Vertx.vertx();
  private final AtomicInteger connections = new AtomicInteger();

  @AfterEach
  void close() {
    Waits.get(vertx.close());
  }

  /** Guards against a list of hosts that is not asked for as long as a connection is silent. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "HTTP/1.1 200 OK\r\ncontent-le",
        "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\n",
        "HTTP/1.1 503 Busy\r\ncontent-length: 10\r\n\r\n"
      })
  void theListIsAskedForOnAnotherConnection(String partOfResponse) {
    NetServer server =
        vertx
            .createNetServer()
            .connectHandler(
                socket -> {
                  String response = connections.incrementAndGet() == 1 ? partOfResponse : list();
                  socket.handler(request -> write(socket, response));
                });
    int port = Waits.get(server.listen(0, ADDRESS)).actualPort();
    Queue<Long> heard = new ConcurrentLinkedQueue<>();
    try (HostListClient client =
        new HostListClient(
            vertx,
            new HttpObjectApiSettings(ADDRESS, port, 1_000, ANSWER_TIMEOUT_MILLIS, 1, 1),
            () -> 1,
            new Random(1),
            new SimpleMeterRegistry(),
            list -> heard.add(list.ageMillis()))) {

      client.start();
      Waits.until("a list is heard", () -> !heard.isEmpty());
    }

    assertThat(heard).containsOnly(1L);
  }

  private static void write(NetSocket socket, String response) {
    if (!response.isEmpty()) {
      Future<Void> unused = socket.write(response);
    }
  }

  private static String list() {
    return "HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: "
        + LIST.length()
        + "\r\n\r\n"
        + LIST;
  }
}
