package org.marjoramsail.daemon.forward;

import io.vertx.core.MultiMap;
import java.util.Set;
import org.marjoramsail.daemon.connection.JoinedBody;

/** Decides whether a response counts, and after which responses a connection is used again. */
final class ConnectionReuse {

  /** Statuses of responses that have no body. */
  private static final Set<Integer> BODILESS = Set.of(204, 205);

  /** Statuses of responses that end with their head, whatever it announces. */
  private static final Set<Integer> ENDED_BY_HEAD = Set.of(204, 304);

  private ConnectionReuse() {}

  /**
   * Returns whether a response belongs to the request for which it came. One without an identifier
   * does only on a connection that carried no other request.
   */
  static boolean isBound(UpstreamConnection connection, ResponseOrigin origin) {
    return switch (origin) {
      case OWN -> true;
      case OTHER -> false;
      case NONE -> connection.requests() == 1;
    };
  }

  /** Returns whether the end of a response is that of its connection. */
  static boolean isEndedByClose(int status, MultiMap headers) {
    return !JoinedBody.isFramed(headers) && !ENDED_BY_HEAD.contains(status);
  }

  /**
   * Returns whether a response announces a body that its status does not allow and nobody reads.
   */
  static boolean isBodyDropped(int status, MultiMap headers) {
    String length = headers.get("content-length");
    boolean isAnnounced =
        headers.contains("transfer-encoding") || (length != null && !length.equals("0"));
    return isAnnounced && BODILESS.contains(status);
  }

  /**
   * Returns what becomes of a connection after a complete response.
   *
   * @param isKept whether the upstream states for how long it keeps the connection
   */
  static ConnectionFate after(
      UpstreamConnection connection, ResponseOrigin origin, MultiMap headers, boolean isKept) {
    if (!connection.isDirect()) {
      return ConnectionFate.RELAYED;
    }
    if (!JoinedBody.isFramed(headers)) {
      return ConnectionFate.UNFRAMED;
    }
    if (!isKept || "close".equalsIgnoreCase(headers.get("connection"))) {
      return ConnectionFate.CLOSED_BY_UPSTREAM;
    }
    if (origin != ResponseOrigin.OWN) {
      return ConnectionFate.UNIDENTIFIED;
    }
    return connection.isRequestWritten()
        ? ConnectionFate.REUSED
        : ConnectionFate.REQUEST_INCOMPLETE;
  }
}
