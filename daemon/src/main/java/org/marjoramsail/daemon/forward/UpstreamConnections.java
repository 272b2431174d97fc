package org.marjoramsail.daemon.forward;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpConnectOptions;
import java.net.ConnectException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.function.Function;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.Incarnation;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.connection.HeadRule;
import org.marjoramsail.daemon.connection.MalformedHeadCounts;
import org.marjoramsail.daemon.connection.MalformedHeadException;
import org.marjoramsail.daemon.upstream.AbortiveClose;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Pool of idle connections to upstreams, by incarnation instead of address, since addresses are
 * reassigned. Runs on one event loop.
 */
final class UpstreamConnections {

  /** Maximum number of idle connections for one upstream. */
  private static final int MAXIMUM_IDLE = 8;

  /**
   * Timeout for a new connection, in milliseconds. It is shorter than the retransmission of a lost
   * packet, so that the request moves to another upstream instead.
   */
  private static final int CONNECT_TIMEOUT_MILLIS = 400;

  /**
   * Time before an upstream closes an idle connection during which it is no longer used, in
   * milliseconds.
   */
  private static final long IDLE_MARGIN_MILLIS = 500;

  /** Time for which a connection without a request so far may stay open, in milliseconds. */
  private static final long UNUSED_MILLIS = 1_000;

  /**
   * Maximum size of the head of a response, and of its trailers, in bytes. It leaves room for
   * cookies and for links, and a hundred such heads fit into the heap of a daemon.
   */
  private static final int MAXIMUM_HEAD_BYTES = 16 << 10;

  private static final Logger LOG = LoggerFactory.getLogger(UpstreamConnections.class);

  /** Numbers the connections of all pools. */
  private static final AtomicLong SERIALS = new AtomicLong();

  private record IdleConnection(UpstreamConnection connection, long usableUntilMillis) {}

  private final HttpClientAgent client;
  private final Clock clock;
  private final Map<Incarnation, Deque<IdleConnection>> idle = new HashMap<>();
  private final Vertx vertx;
  private final ConnectListener listener;
  private final ConnectFaults faults;
  private final Function<UpstreamName, Optional<Relay>> relay;
  private final Consumer<Relay> relayFailed;
  private final MalformedHeadCounts malformed = new MalformedHeadCounts();
  private long opened;
  private long relayed;
  private long unrequested;

  /**
   * Creates an empty pool.
   *
   * @param listener receives the result of each connection that is opened
   * @param faults {@link ConnectFaults#NONE} outside of tests
   * @param relay returns the relay by which to reach an upstream; empty if it is to be reached
   *     directly
   * @param relayFailed receives relays that cannot be reached
   */
  UpstreamConnections(
      Vertx vertx,
      Clock clock,
      ConnectListener listener,
      ConnectFaults faults,
      Function<UpstreamName, Optional<Relay>> relay,
      Consumer<Relay> relayFailed) {
    this.vertx = vertx;
    this.client =
        vertx.createHttpClient(
            AbortiveClose.options()
                .setPipelining(false)
                .setKeepAlive(true)
                .setTcpNoDelay(true)
                .setTcpKeepAlive(true)
                .setMaxHeaderSize(MAXIMUM_HEAD_BYTES)
                .setConnectTimeout(CONNECT_TIMEOUT_MILLIS));
    this.clock = clock;
    this.listener = listener;
    this.faults = faults;
    this.relay = relay;
    this.relayFailed = relayFailed;
  }

  /** Creates an empty pool whose connections lead to upstreams only. */
  static UpstreamConnections direct(
      Vertx vertx, Clock clock, ConnectListener listener, ConnectFaults faults) {
    return new UpstreamConnections(
        vertx, clock, listener, faults, upstream -> Optional.empty(), unused -> {});
  }

  /**
   * Returns a connection that nothing else uses, and that carried no request with an identifier. A
   * failure proves that nothing was sent.
   *
   * @param attempt the identifier that the request bears; empty if it bears none
   */
  Future<UpstreamConnection> acquire(UpstreamDefinition target, String attempt) {
    Optional<UpstreamConnection> usable = acquireIdle(target.incarnation(), attempt);
    if (usable.isPresent()) {
      return Future.succeededFuture(usable.get());
    }
    Optional<Relay> used = relay.apply(target.name());
    if (used.isPresent()) {
      return connect(used.get());
    }
    return connect(target).recover(cause -> connectByRelay(target, cause));
  }

  /** A response to a request without an identifier only counts on a new connection. */
  private Optional<UpstreamConnection> acquireIdle(Incarnation target, String attempt) {
    Deque<IdleConnection> idleConnections = idle.get(target);
    if (idleConnections == null || attempt.isEmpty()) {
      return Optional.empty();
    }
    Deque<IdleConnection> passedOver = new ArrayDeque<>(0);
    Optional<UpstreamConnection> usable = Optional.empty();
    while (usable.isEmpty() && !idleConnections.isEmpty()) {
      IdleConnection newest = idleConnections.pollLast();
      UpstreamConnection connection = newest.connection();
      if (connection.hasCarried(attempt)) {
        passedOver.addFirst(newest);
      } else if (newest.usableUntilMillis() > clock.millis() && connection.isUsable()) {
        usable = Optional.of(connection);
      } else {
        connection.close();
      }
    }
    idleConnections.addAll(passedOver);
    return usable;
  }

  /** Connects to a relay after the direct connection has failed, if there is one by now. */
  private Future<UpstreamConnection> connectByRelay(UpstreamDefinition target, Throwable cause) {
    return relay.apply(target.name()).map(this::connect).orElse(Future.failedFuture(cause));
  }

  private Future<UpstreamConnection> connect(Relay used) {
    relayed++;
    return client
        .connect(options(used.address(), used.port()))
        .map(connection -> watched(connection, Optional.of(used), used.daemon().toString()))
        .onFailure(cause -> relayFailed.accept(used));
  }

  /** Records that a relay did not send a call; one that does not accept its token is given up. */
  void notSent(UpstreamConnection connection, int status) {
    if (status == Relay.FORBIDDEN_STATUS) {
      connection.relay().ifPresent(relayFailed);
    }
  }

  /** Opens a connection that the next request to the upstream uses. */
  Future<Void> open(UpstreamDefinition target) {
    return connect(target)
        .onSuccess(connection -> release(target.incarnation(), connection, UNUSED_MILLIS))
        .mapEmpty();
  }

  private Future<UpstreamConnection> connect(UpstreamDefinition target) {
    opened++;
    long startedAtMillis = clock.millis();
    return faultOf(target)
        .compose(reachable -> client.connect(options(target.address(), target.port())))
        .map(connection -> watched(connection, Optional.empty(), target.incarnation().toString()))
        .onSuccess(connection -> listener.connected(target, startedAtMillis))
        .onFailure(
            cause -> listener.failed(target, startedAtMillis, isRefusal(cause), cause.toString()));
  }

  private UpstreamConnection watched(
      HttpClientConnection connection, Optional<Relay> used, String peer) {
    return new UpstreamConnection(
        SERIALS.incrementAndGet(), connection, used, new LoggedCloses(peer));
  }

  /** Counts and logs why connections are closed. */
  private final class LoggedCloses implements UpstreamConnection.Closes {
    private final String peer;

    LoggedCloses(String peer) {
      this.peer = peer;
    }

    @Override
    public void unrequested(UpstreamConnection connection) {
      unrequested++;
      event(connection)
          .log("connection closed on which something arrived that no request waits for");
    }

    @Override
    public void malformed(UpstreamConnection connection, MalformedHeadException cause) {
      malformed.add(cause.rule());
      event(connection)
          .addKeyValue("host", connection.connection().remoteAddress())
          .addKeyValue("rule", cause.rule().code())
          .addKeyValue("line", cause.line())
          .log("connection closed on which a response broke the grammar");
    }

    private LoggingEventBuilder event(UpstreamConnection connection) {
      return LOG.atInfo()
          .addKeyValue("request", connection.lastAttempt())
          .addKeyValue("peer", peer)
          .addKeyValue("connection", connection.serial())
          .addKeyValue("localPort", connection.localPort())
          .addKeyValue("position", connection.requests());
    }
  }

  private static HttpConnectOptions options(String address, int port) {
    return new HttpConnectOptions()
        .setHost(address)
        .setPort(port)
        .setConnectTimeout(CONNECT_TIMEOUT_MILLIS);
  }

  private Future<Void> faultOf(UpstreamDefinition target) {
    return switch (faults.faultOf(target)) {
      case NONE -> Future.succeededFuture();
      case REFUSED -> Future.failedFuture(new ConnectException("refused by a test"));
      case TIMEOUT ->
          vertx
              .timer(CONNECT_TIMEOUT_MILLIS)
              .compose(fired -> Future.failedFuture(new ConnectTimeoutException("cut by a test")));
    };
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  /**
   * Returns a connection to the pool after a complete response, in a later turn of the event loop:
   * what follows the response in the same bytes is read by then.
   */
  void release(Incarnation target, UpstreamConnection connection, long idleMillis) {
    vertx.runOnContext(read -> releaseNow(target, connection, idleMillis));
  }

  private void releaseNow(Incarnation target, UpstreamConnection connection, long idleMillis) {
    long usableMillis = idleMillis - IDLE_MARGIN_MILLIS;
    Deque<IdleConnection> idleConnections =
        idle.computeIfAbsent(target, incarnation -> new ArrayDeque<>());
    if (usableMillis <= 0 || idleConnections.size() >= MAXIMUM_IDLE || !connection.isInStep()) {
      connection.close();
      return;
    }
    IdleConnection idleConnection = new IdleConnection(connection, clock.millis() + usableMillis);
    idleConnections.addLast(idleConnection);
    connection.connection().closeHandler(closed -> idleConnections.remove(idleConnection));
  }

  /** Closes the connections to all upstreams except the given ones, and those that have expired. */
  void retainOnly(Set<Incarnation> known) {
    long now = clock.millis();
    idle.entrySet()
        .removeIf(
            entry -> {
              boolean removed = !known.contains(entry.getKey());
              for (IdleConnection idleConnection : List.copyOf(entry.getValue())) {
                if (removed || idleConnection.usableUntilMillis() <= now) {
                  entry.getValue().remove(idleConnection);
                  idleConnection.connection().close();
                }
              }
              return removed;
            });
  }

  /** Closes the idle connections to an upstream. */
  void closeIdle(Incarnation target) {
    Deque<IdleConnection> closed = idle.remove(target);
    if (closed != null) {
      List.copyOf(closed).forEach(idleConnection -> idleConnection.connection().close());
    }
  }

  /** Runs an action after some time. */
  void later(long millis, Runnable action) {
    vertx.setTimer(millis, fired -> action.run());
  }

  /** Returns the number of connections to relays that were requested. */
  long relayed() {
    return relayed;
  }

  /** Returns the number of connections on which something arrived that no request waited for. */
  long unrequested() {
    return unrequested;
  }

  /** Returns the number of responses whose head broke a rule of the grammar. */
  long malformed(HeadRule rule) {
    return malformed.count(rule);
  }

  /** Returns the number of connections that were opened. */
  long opened() {
    return opened;
  }
}
