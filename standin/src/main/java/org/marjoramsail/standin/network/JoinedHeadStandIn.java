package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;

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

  private final FixedResponseServer server;

  /**
   * Creates a server that does not listen yet.
   *
   * @param place where the response breaks off
   * @param brokenStatus status of the response that breaks off
   * @param status status of the response that continues it
   * @param body body of the response that continues it
   */
  public JoinedHeadStandIn(Vertx vertx, Break place, int brokenStatus, int status, String body) {
    this.server =
        new FixedResponseServer(
            vertx,
            "HTTP/1.1 "
                + brokenStatus
                + place.behindStatus
                + "HTTP/1.1 "
                + status
                + " Other\r\ncontent-type: application/json\r\ncontent-length: "
                + body.getBytes(StandardCharsets.UTF_8).length
                + HEAD_END
                + body);
  }

  /** Listens; completes with the port. */
  public Future<Integer> start(String address) {
    return server.start(address);
  }

  /** Returns the number of requests that it received. */
  public int requests() {
    return server.requests();
  }
}
