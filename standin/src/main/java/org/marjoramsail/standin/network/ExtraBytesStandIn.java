package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An HTTP server that sends something behind its first response, before the next request. Requests
 * must not have a body.
 */
public final class ExtraBytesStandIn {

  /** What is sent, and whether in one write with the response. */
  public enum Extra {
    JOINED_SUCCESS(200, true, true),
    JOINED_FAILURE(404, true, true),
    JOINED_STATUS_LINE_OF_SUCCESS(200, false, true),
    JOINED_STATUS_LINE_OF_FAILURE(404, false, true),
    LATER_SUCCESS(200, true, false),
    LATER_FAILURE(404, true, false),
    LATER_STATUS_LINE_OF_SUCCESS(200, false, false),
    LATER_STATUS_LINE_OF_FAILURE(404, false, false);

    private final int status;
    private final boolean isWhole;
    private final boolean isJoined;

    Extra(int status, boolean isWhole, boolean isJoined) {
      this.status = status;
      this.isWhole = isWhole;
      this.isJoined = isJoined;
    }

    /** Returns whether its status is a success; that of the responses behind it is the other. */
    public boolean isSuccess() {
      return status == SUCCESS;
    }

    private Buffer bytes(String body) {
      return isWhole ? response(status, body) : Buffer.buffer("HTTP/1.1 " + status + " ");
    }

    private int statusBehind() {
      return isSuccess() ? FAILURE : SUCCESS;
    }
  }

  private static final int SUCCESS = 200;
  private static final int FAILURE = 404;
  private static final String HEAD_END = "\r\n\r\n";

  private final Extra extra;
  private final List<String> bodies;
  private final NetServer server;
  private final AtomicInteger requests = new AtomicInteger();
  private final Promise<Void> extraSent = Promise.promise();

  /**
   * Creates a server that does not listen yet.
   *
   * @param first the body of the first response
   * @param between the body of the extra response, if that is whole
   * @param behind the body of all responses after it
   */
  public ExtraBytesStandIn(Vertx vertx, Extra extra, String first, String between, String behind) {
    this.extra = extra;
    this.bodies = List.of(first, between, behind);
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

  /** Completes when the operating system has taken what is sent behind the first response. */
  public Future<Void> extraSent() {
    return extraSent.future();
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
            respond(socket);
            end = received.indexOf(HEAD_END);
          }
        });
  }

  private void respond(NetSocket socket) {
    if (requests.incrementAndGet() > 1) {
      Future<Void> unused = socket.write(response(extra.statusBehind(), bodies.get(2)));
      return;
    }
    Buffer first = response(SUCCESS, bodies.get(0));
    Buffer extraBytes = extra.bytes(bodies.get(1));
    Future<Void> sent =
        extra.isJoined
            ? socket.write(first.appendBuffer(extraBytes))
            : socket.write(first).compose(written -> socket.write(extraBytes));
    sent.onComplete(extraSent);
  }

  private static Buffer response(int status, String body) {
    return Buffer.buffer(
        "HTTP/1.1 "
            + status
            + " Own\r\ncontent-type: application/json\r\ncontent-length: "
            + body.getBytes(StandardCharsets.UTF_8).length
            + HEAD_END
            + body);
  }
}
