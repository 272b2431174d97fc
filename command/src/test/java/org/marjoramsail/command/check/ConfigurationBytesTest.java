package org.marjoramsail.command.check;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.FutureTask;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

final class ConfigurationBytesTest {

  private static final int READS = 20;
  private static final int COLLECTION_INTERVAL_MILLIS = 10;

  /** A server that accepts connections and says nothing: the check must end nevertheless. */
  @Test
  void aServerThatDoesNotRespondIsUnreadable() throws Exception {
    try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      String url = "http://127.0.0.1:" + silent.getLocalPort() + "/";

      assertThatThrownBy(() -> new ConfigurationBytes(Optional.empty(), 50).read(url))
          .isInstanceOf(UnreadableConfigurationException.class)
          .hasMessageContaining("no complete response within 50 ms");
    }
  }

  /** A client that the garbage collector finds unreachable closes its connections. */
  @Test
  void garbageCollectionsEndNoRequest() throws Exception {
    CountDownLatch ended = new CountDownLatch(1);
    FutureTask<Void> collector = new FutureTask<>(() -> collectUntil(ended));
    HttpServer server =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    server.createContext("/", ConfigurationBytesTest::respond);
    server.start();
    new Thread(collector).start();
    try {
      String url = "http://127.0.0.1:" + server.getAddress().getPort() + "/";
      for (int read = 0; read < READS; read++) {
        assertThat(new ConfigurationBytes(Optional.empty()).read(url)).asString().isEqualTo("{}");
      }
    } finally {
      ended.countDown();
      collector.get();
      server.stop(0);
    }
  }

  private static Void collectUntil(CountDownLatch ended) throws InterruptedException {
    while (!ended.await(COLLECTION_INTERVAL_MILLIS, TimeUnit.MILLISECONDS)) {
      System.gc();
    }
    return null;
  }

  private static void respond(HttpExchange exchange) throws IOException {
    exchange.sendResponseHeaders(200, 2);
    exchange.getResponseBody().write("{}".getBytes(StandardCharsets.US_ASCII));
    exchange.close();
  }
}
