package org.marjoramsail.daemon.caller;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bounds what connections cost.
 *
 * <p>Guards against floods of connections, which show as memory that grows without requests: over
 * the limit a connection gets one typed refusal and is closed, over twice the limit it is closed at
 * once. A connection that stays without a whole request head is closed as well.
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

  /** Handles a request on a connection; false when the connection is over the limit. */
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

  /** How many connections are open. */
  int open() {
    return open.get();
  }

  private void arm(HttpConnection connection, State state) {
    disarm(state);
    state.timer = vertx.setTimer(limits.headerTimeoutMillis(), fired -> close(connection));
  }

  /** Closes once the last answer is read; a reader that does not read it in time loses the rest. */
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
