package org.marjoramsail.standin.network;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;

/** An HTTP server whose responses have a head that breaks the grammar of HTTP/1.1. */
public final class MalformedHeadStandIn {

  /** What breaks the grammar. */
  public enum Fault {
    NUL_BEFORE_STATUS_LINE("\0HTTP/1.1 ", "", ""),
    TABS_IN_STATUS_LINE("HTTP/1.1\t", "", ""),
    STATUS_OF_FOUR_DIGITS("HTTP/1.1 0", "", ""),
    CONTROL_BYTE_IN_REASON_PHRASE("HTTP/1.1 ", "\7", ""),
    BLANK_IN_NAME("HTTP/1.1 ", "", "Bad Name: x\r\n"),
    CONTROL_BYTE_IN_NAME("HTTP/1.1 ", "", "X\1Y: x\r\n"),
    NO_COLON("HTTP/1.1 ", "", "no colon at all\r\n"),
    LINE_FEED_ALONE("HTTP/1.1 ", "", "X: y\n"),
    UNKNOWN_ENCODING("HTTP/1.1 ", "", "Transfer-Encoding: xchunked\r\n");

    private final String beforeStatus;
    private final String behindReason;
    private final String field;

    Fault(String beforeStatus, String behindReason, String field) {
      this.beforeStatus = beforeStatus;
      this.behindReason = behindReason;
      this.field = field;
    }

    /**
     * Returns a response with this fault.
     *
     * @param status the status that a lenient reader sees
     * @param fields further fields, each with the end of its line
     */
    public String response(int status, String fields, String body) {
      return beforeStatus
          + status
          + " Other"
          + behindReason
          + "\r\n"
          + field
          + fields
          + "content-length: "
          + body.getBytes(StandardCharsets.UTF_8).length
          + HEAD_END
          + body;
    }
  }

  private static final String HEAD_END = "\r\n\r\n";

  private final FixedResponseServer server;

  /** Creates a server that does not listen yet. */
  public MalformedHeadStandIn(Vertx vertx, Fault fault, int status, String body) {
    this.server =
        new FixedResponseServer(
            vertx, fault.response(status, "content-type: application/json\r\n", body));
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
