package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server whose responses break off within the head, where another one continues them. */
public final class JoinedHeadStandIn {

  /** Where a response breaks off. */
  public enum Break {
    REASON_PHRASE(" O"),
    HEADER_NAME(" OK\r\nva"),
    HEADER_VALUE(" OK\r\nvary: ");

    private final String behindStatus;

    Break(String behindStatus) {
      this.behindStatus = behindStatus;
    }
  }

  private static final String HEAD_END = "\r\n\r\n";

  private final String response;
  private final NetServer server;
  private final AtomicInteger requests = new AtomicInteger();

  /**
   * Creates a server that does not listen yet.
   *
   * @param place where the response breaks off
   * @param brokenStatus status of the response that breaks off
   * @param status status of the response that continues it
   * @param body body of the response that continues it
   */
  public JoinedHeadStandIn(Vertx vertx, Break place, int brokenStatus, int status, String body) {
    this.response =
        "HTTP/1.1 "
            + brokenStatus
            + place.behindStatus
            + "HTTP/1.1 "
            + status
            + " Other\r\ncontent-type: application/json\r\ncontent-length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + HEAD_END
            + body;
    this.server = vertx.createNetServer().connectHandler(this::read);
  }

  /** Listens; completes with the port. */
  public Future<Integer> start(String address) {
    return server.listen(0, address).map(NetServer::actualPort);
  }

  /** Returns the number of requests that it received. */
  public int requests() {
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
