package org.marjoramsail.standin.server;

import io.vertx.core.Future;
import io.vertx.core.Handler;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * An HTTP server that can drop all its connections, come back on the same port, and stand still.
 *
 * <p>All methods are called on one Vert.x context.
 */
public final class CrashableServer {

  private static final Logger LOG = LoggerFactory.getLogger(CrashableServer.class);
  private static final int BACKLOG_CONNECTIONS = 1024;
  private static final int IDLE_TIMEOUT_SECONDS = 120;
  private static final int RESERVATION_TRIES = 1_000;
  private static final long RESERVATION_RETRY_MILLIS = 1;

  private final Vertx vertx;
  private final ScaledTime time;
  private final String address;
  private final Handler<HttpServerRequest> handler;
  private final Set<HttpConnection> connections = new HashSet<>();
  private Optional<HttpServer> server = Optional.empty();
  private Optional<PortReservation> reservation = Optional.empty();
  private Future<Void> dropped = Future.succeededFuture();
  private boolean up;
  private int port;

  /**
   * Creates an instance with where to listen.
   *
   * @param vertx runs the server
   * @param time whose stalls hold back requests
   * @param address the local address
   * @param port the port, or zero to let the system choose at the first start
   * @param handler takes each request
   */
  public CrashableServer(
      Vertx vertx, ScaledTime time, String address, int port, Handler<HttpServerRequest> handler) {
    this.vertx = vertx;
    this.time = time;
    this.address = address;
    this.port = port;
    this.handler = handler;
  }

  /**
   * Listens, on the port of the first time if it has listened before, and gives the port.
   *
   * <p>It first waits for an earlier {@link #drop()} to end: a restart that overtakes it would find
   * the port still in use, and the upstream would stay down.
   */
  public Future<Integer> listen() {
    up = true;
    return dropped.transform(ended -> bind());
  }

  private Future<Integer> bind() {
    reservation.ifPresent(PortReservation::close);
    reservation = Optional.empty();
    HttpServerOptions options =
        new HttpServerOptions()
            .setHost(address)
            .setPort(port)
            .setAcceptBacklog(BACKLOG_CONNECTIONS)
            .setIdleTimeout(IDLE_TIMEOUT_SECONDS)
            .setTcpNoDelay(true);
    HttpServer starting = vertx.createHttpServer(options);
    starting.connectionHandler(this::track);
    starting.requestHandler(this::handle);
    return starting
        .listen()
        .map(
            started -> {
              server = Optional.of(started);
              port = started.actualPort();
              return port;
            })
        .onFailure(
            failure -> {
              up = false;
              LOG.atWarn().addKeyValue("port", port).setCause(failure).log("cannot listen");
            });
  }

  private void track(HttpConnection connection) {
    connections.add(connection);
    connection.closeHandler(closed -> connections.remove(connection));
  }

  private void handle(HttpServerRequest request) {
    long millis = time.stalledForMillis();
    if (millis == 0) {
      handler.handle(request);
      return;
    }
    request.pause();
    vertx.setTimer(millis, timer -> handleLate(request));
  }

  private void handleLate(HttpServerRequest request) {
    if (!request.response().closed()) {
      request.resume();
      handle(request);
    }
  }

  /** Stops listening and cuts every connection at once. */
  public Future<Void> drop() {
    dropped = cutAll().compose(closed -> reservePort(RESERVATION_TRIES));
    return dropped;
  }

  private Future<Void> cutAll() {
    up = false;
    Optional<HttpServer> running = server;
    server = Optional.empty();
    Set.copyOf(connections).forEach(HttpConnection::close);
    connections.clear();
    return running.map(HttpServer::close).orElseGet(Future::succeededFuture);
  }

  /**
   * Holds the port of the closed server. Its socket listens until the event loop that accepts its
   * connections has run once more, although the server counts as closed.
   */
  private Future<Void> reservePort(int tries) {
    PortReservation attempt = new PortReservation(address, port);
    if (attempt.isHeld() || tries == 1) {
      reservation = Optional.of(attempt);
      return Future.succeededFuture();
    }
    attempt.close();
    return vertx
        .timer(RESERVATION_RETRY_MILLIS, TimeUnit.MILLISECONDS)
        .compose(fired -> reservePort(tries - 1));
  }

  /** Stops for good and lets go of the port. */
  public Future<Void> close() {
    return cutAll()
        .eventually(() -> dropped)
        .onComplete(
            ended -> {
              reservation.ifPresent(PortReservation::close);
              reservation = Optional.empty();
            });
  }

  /** Whether it listens or is about to. */
  public boolean isUp() {
    return up;
  }
}
