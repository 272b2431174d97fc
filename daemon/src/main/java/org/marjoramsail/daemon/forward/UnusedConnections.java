package org.marjoramsail.daemon.forward;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import java.util.HashMap;
import java.util.Map;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Closes connections of senders that have been without a call for some time.
 *
 * <p>Guards against senders that connect and send nothing, or only a part of a request head, also
 * if they go on sending bytes of it. Runs on one event loop.
 */
final class UnusedConnections {

  private static final long NONE = -1;

  private static final class Use {
    private int calls;
    private long timer = NONE;
  }

  private final Vertx vertx;
  private final long timeoutMillis;
  private final Map<HttpConnection, Use> uses = new HashMap<>();

  /**
   * Creates an instance without connections.
   *
   * @param timeoutMillis time without a call after which a connection is closed, in milliseconds
   */
  UnusedConnections(Vertx vertx, long timeoutMillis) {
    this.vertx = vertx;
    this.timeoutMillis = timeoutMillis;
  }

  /** Handles a new connection. */
  void opened(HttpConnection connection) {
    Use use = new Use();
    uses.put(connection, use);
    connection.closeHandler(
        closed -> {
          uses.remove(connection);
          cancel(use);
        });
    start(use, connection);
  }

  /** Handles the complete head of a call. */
  void callBegins(HttpConnection connection) {
    Use use = uses.get(connection);
    if (use != null) {
      use.calls++;
      cancel(use);
    }
  }

  /** Handles the end of a call; the next one may have begun before. */
  void callEnded(HttpConnection connection) {
    Use use = uses.get(connection);
    if (use != null) {
      use.calls--;
      if (use.calls == 0) {
        start(use, connection);
      }
    }
  }

  private void start(Use use, HttpConnection connection) {
    use.timer = vertx.setTimer(timeoutMillis, passed -> ForcedClose.close(connection));
  }

  private void cancel(Use use) {
    if (use.timer != NONE) {
      vertx.cancelTimer(use.timer);
      use.timer = NONE;
    }
  }
}
