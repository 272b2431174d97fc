package org.marjoramsail.daemon.forward;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.timeout.IdleStateEvent;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.daemon.connection.OrderlyClose;

/** The open connections of callers and the requests that run on them. Runs on one event loop. */
final class CallerConnections {

  private final Vertx vertx;
  private final Map<HttpConnection, State> states = new HashMap<>();

  private static final class State {
    private final Set<HttpServerRequest> running = new HashSet<>();
    private boolean closing;

    boolean isUnfinished() {
      return closing || !running.isEmpty();
    }
  }

  CallerConnections(Vertx vertx) {
    this.vertx = vertx;
  }

  /** Handles a new connection, whose idle timeout then counts only while no request runs. */
  void opened(HttpConnection connection) {
    State state = new State();
    states.put(connection, state);
    connection.closeHandler(closed -> states.remove(connection));
    if (connection instanceof ConnectionBase base) {
      ChannelHandlerContext context = base.channelHandlerContext();
      context.pipeline().addBefore(context.name(), null, new IdleFilter(state));
    }
  }

  /**
   * Returns the number of connections that are not idle: on which a request that was read whole has
   * no complete response, or that are being closed after one. Requests that are never sent whole do
   * not count.
   */
  int unfinished() {
    return Math.toIntExact(states.values().stream().filter(State::isUnfinished).count());
  }

  /** Returns whether a response has announced the close of a connection. */
  boolean isClosing(HttpConnection connection) {
    State state = states.get(connection);
    return state != null && state.closing;
  }

  /** Handles a request that was read whole. */
  void requestBegins(HttpServerRequest request) {
    stateOf(request).ifPresent(state -> state.running.add(request));
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
              state.running.remove(request);
              if (state.closing) {
                OrderlyClose.close(vertx, request.connection());
              }
            });
  }

  private Optional<State> stateOf(HttpServerRequest request) {
    return Optional.ofNullable(states.get(request.connection()));
  }

  /** Stops idle events of a connection while a request runs on it. */
  private static final class IdleFilter extends ChannelInboundHandlerAdapter {
    private final State state;

    IdleFilter(State state) {
      this.state = state;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof IdleStateEvent) || state.running.isEmpty()) {
        context.fireUserEventTriggered(event);
      }
    }
  }
}
