package org.marjoramsail.daemon.caller;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.daemon.connection.ForcedClose;

/**
 * Limits the number of connections and their idle time.
 *
 * <p>Guards against floods of connections, which use memory without sending requests: over the
 * limit a connection receives one typed refusal and is closed, and over twice the limit it is
 * closed at once. A connection without a complete request head is closed after a timeout.
 */
final class ConnectionGuard {

  private static final long NO_TIMER = -1;

  private final Vertx vertx;
  private final CallerLimits limits;
  private final AtomicInteger open = new AtomicInteger();
  private final ConcurrentMap<HttpConnection, State> states = new ConcurrentHashMap<>();

  private static final class State {
    private final boolean overLimit;
    private int activeRequests;
    private long timer = NO_TIMER;

    private State(boolean overLimit) {
      this.overLimit = overLimit;
    }
  }

  ConnectionGuard(Vertx vertx, CallerLimits limits) {
    this.vertx = vertx;
    this.limits = limits;
  }

  /** Handles a new connection. */
  void opened(HttpConnection connection) {
    int now = open.incrementAndGet();
    State state = new State(now > limits.maximumConnections());
    states.put(connection, state);
    connection.closeHandler(
        closed -> {
          open.decrementAndGet();
          disarm(state);
          states.remove(connection);
        });
    if (now > 2 * limits.maximumConnections()) {
      connection.close();
    } else {
      arm(connection, state);
    }
  }

  /**
   * Handles a new request on a connection.
   *
   * @return false if the connection is over the limit
   */
  boolean admit(HttpServerRequest request) {
    HttpConnection connection = request.connection();
    State state = states.get(connection);
    if (state == null) {
      return true;
    }
    disarm(state);
    state.activeRequests++;
    request
        .response()
        .endHandler(
            ended -> {
              state.activeRequests--;
              if (state.activeRequests == 0) {
                arm(connection, state);
              }
            });
    return !state.overLimit;
  }

  /** Returns the number of requests without a complete response, those that are read included. */
  int activeRequests() {
    return states.values().stream().mapToInt(state -> state.activeRequests).sum();
  }

  /** Returns the number of open connections. */
  int open() {
    return open.get();
  }

  private void arm(HttpConnection connection, State state) {
    disarm(state);
    state.timer = vertx.setTimer(limits.headerTimeoutMillis(), fired -> close(connection));
  }

  /**
   * Closes a connection after its last response is read, or after a timeout if the reader is too
   * slow.
   */
  private void close(HttpConnection connection) {
    connection.close();
    vertx.setTimer(limits.slowReaderMillis(), fired -> ForcedClose.close(connection));
  }

  private void disarm(State state) {
    if (state.timer != NO_TIMER) {
      vertx.cancelTimer(state.timer);
      state.timer = NO_TIMER;
    }
  }
}
