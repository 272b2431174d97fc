package org.marjoramsail.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.marjoramsail.daemon.connection.OrderlyClose;

/** The open connections of callers. Runs on one event loop. */
final class CallerConnections {

  private final Vertx vertx;
  private final Map<HttpConnection, State> states = new HashMap<>();

  private static final class State {
    private boolean closing;
  }

  CallerConnections(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Handles a new connection. */
  void opened(HttpConnection connection) {
    states.put(connection, new State());
    connection.closeHandler(closed -> states.remove(connection));
  }

  /** Returns the number of open connections. */
  int open() {
    return states.size();
  }

  /** Returns whether a response has announced the close of a connection, or it is closed. */
  boolean isClosing(HttpConnection connection) {
    State state = states.get(connection);
    return state == null || state.closing;
  }

  /**
   * Handles the head of a response, before the next request on its connection is read: that one is
   * not to be passed on if the connection is closed after this response.
   */
  void responseBegins(HttpServerRequest request) {
    boolean announcesClose =
        request.version() != HttpVersion.HTTP_2
            && request.response().headers().contains("connection", "close", true);
    if (announcesClose) {
      stateOf(request).ifPresent(state -> state.closing = true);
    }
  }

  /** Handles the end of a response, after which its connection is closed if it has said so. */
  void responseEnded(HttpServerRequest request) {
    stateOf(request)
        .ifPresent(
            state -> {
              if (state.closing) {
                OrderlyClose.close(vertx, request.connection());
              }
            });
  }

  private Optional<State> stateOf(HttpServerRequest request) {
    return Optional.ofNullable(states.get(request.connection()));
  }
}
