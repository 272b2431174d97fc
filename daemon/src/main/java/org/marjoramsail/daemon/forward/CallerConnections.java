package org.marjoramsail.daemon.forward;

import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.timeout.IdleStateEvent;
import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpVersion;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.marjoramsail.daemon.connection.OrderlyClose;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The open connections of callers and the requests that run on them. Runs on one event loop. */
final class CallerConnections {

  private static final Logger LOG = LoggerFactory.getLogger(CallerConnections.class);

  private final Vertx vertx;
  private final Function<MultiMap, String> attempts;
  private final Map<HttpConnection, State> states = new HashMap<>();

  private static final class State {
    private final Set<HttpServerRequest> running = new HashSet<>();
    private final Deque<HttpRequest> waiting = new ArrayDeque<>();
    private boolean closing;
    private List<HttpServerRequest> closedWith = List.of();
    private boolean closedByDaemon;

    /** Handles a close by the daemon, after which the running requests end. */
    void closes() {
      if (!closedByDaemon) {
        closedByDaemon = true;
        closedWith = List.copyOf(running);
      }
    }

    boolean closedWithRequests() {
      return closedByDaemon && !(closedWith.isEmpty() && waiting.isEmpty());
    }

    boolean isUnfinished() {
      return closing || !running.isEmpty();
    }
  }

  /**
   * Creates an instance without connections.
   *
   * @param attempts returns the attempt of a request by its headers
   */
  CallerConnections(Vertx vertx, Function<MultiMap, String> attempts) {
    this.vertx = vertx;
    this.attempts = attempts;
  }

  /** Handles a new connection, whose idle timeout then counts only while no request runs. */
  void opened(HttpConnection connection) {
    State state = new State();
    states.put(connection, state);
    connection.closeHandler(
        closed -> {
          states.remove(connection);
          logClose(connection, state);
        });
    if (connection instanceof ConnectionBase base) {
      ChannelHandlerContext context = base.channelHandlerContext();
      context.pipeline().addBefore(context.name(), null, new Filter(state));
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

  /** Handles a request that no longer waits behind others on its connection. */
  void requestAccepted(HttpServerRequest request) {
    stateOf(request).ifPresent(state -> state.waiting.poll());
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

  /** Logs requests that get no response, or no complete one, as their connection is closed. */
  private void logClose(HttpConnection connection, State state) {
    if (!state.closedWithRequests()) {
      return;
    }
    LOG.atInfo()
        .addKeyValue("caller", connection.remoteAddress())
        .addKeyValue("reason", state.closing ? "announced" : "response-broken-off")
        .addKeyValue(
            "running",
            state.closedWith.stream().map(request -> attempts.apply(request.headers())).toList())
        .addKeyValue("waiting", state.waiting.stream().map(this::attemptOf).toList())
        .log("connection of a caller is closed with requests on it");
  }

  private String attemptOf(HttpRequest request) {
    MultiMap headers = MultiMap.caseInsensitiveMultiMap();
    request.headers().forEach(header -> headers.add(header.getKey(), header.getValue()));
    return attempts.apply(headers);
  }

  /**
   * Stops idle events of a connection while a request runs on it. Records the requests that wait
   * behind others, and whether the daemon closes the connection.
   */
  private static final class Filter extends ChannelDuplexHandler {
    private final State state;

    Filter(State state) {
      this.state = state;
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
      if (message instanceof HttpRequest request) {
        state.waiting.add(request);
      }
      context.fireChannelRead(message);
    }

    @Override
    public void close(ChannelHandlerContext context, ChannelPromise promise) {
      if (context.channel().isActive()) {
        state.closes();
      }
      ChannelFuture unused = context.close(promise);
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (!(event instanceof IdleStateEvent) || state.running.isEmpty()) {
        context.fireUserEventTriggered(event);
      }
    }
  }
}
