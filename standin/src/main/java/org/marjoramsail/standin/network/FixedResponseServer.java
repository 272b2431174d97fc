package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A server that writes the same bytes after the head of each request. */
final class FixedResponseServer {

  private static final String HEAD_END = "\r\n\r\n";

  private final Buffer response;
  private final NetServer server;
  private final AtomicInteger requests = new AtomicInteger();

  /** Creates a server that does not listen yet. */
  FixedResponseServer(Vertx vertx, String response) {
    this.response = Buffer.buffer(response);
    this.server = vertx.createNetServer().connectHandler(this::read);
  }

  /** Listens; completes with the port. */
  Future<Integer> start(String address) {
    return server.listen(0, address).map(NetServer::actualPort);
  }

  /** Returns the number of requests that it received. */
  int requests() {
    return requests.get();
  }

  private void read(NetSocket socket) {
    StringBuilder received = new StringBuilder();
    socket.exceptionHandler(reset -> {});
    socket.handler(
        bytes -> {
          received.append(bytes.toString(StandardCharsets.ISO_8859_1));
          int end = received.indexOf(HEAD_END);
          while (end >= 0) {
            received.delete(0, end + HEAD_END.length());
            requests.incrementAndGet();
            Future<Void> unused = socket.write(response);
            end = received.indexOf(HEAD_END);
          }
        });
  }
}
