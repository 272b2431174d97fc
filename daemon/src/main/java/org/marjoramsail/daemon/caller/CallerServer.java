package org.marjoramsail.daemon.caller;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.vertx.core.Context;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.daemon.connection.ListeningPort;
import org.marjoramsail.daemon.connection.ServerOptions;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** HTTP server for callers, on several event loops. */
public final class CallerServer {

  private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);

  /** Lets all event loops share one free port that the operating system chooses. */
  private static final int SHARED_FREE_PORT = -1;

  private static final long FINISH_CHECK_MILLIS = 20;

  /** Time after the port is closed in which the last accepted connections send their requests. */
  private static final long LAST_REQUESTS_MILLIS = 100;

  /** Time after the last request has ended in which responses are written. */
  private static final long LAST_RESPONSES_MILLIS = 500;

  private final Vertx vertx;
  private final CallerBinding binding;
  private final CallerLimits limits;
  private final CallerDependencies dependencies;
  private final CallerHandler handler;
  private final ConnectionGuard connections;
  private final ListeningPort listeningPort;
  private final AtomicInteger port = new AtomicInteger();
  private final Queue<Listening> listeners = new ConcurrentLinkedQueue<>();
  private volatile StopPhase phase = StopPhase.SERVING;
  private volatile String deployment = "";

  /**
   * Creates a server that does not listen yet.
   *
   * @param vertx runs the event loops
   * @param binding address and port
   * @param limits limits on the resources that callers may use
   * @param dependencies the other parts of the daemon
   */
  public CallerServer(
      Vertx vertx, CallerBinding binding, CallerLimits limits, CallerDependencies dependencies) {
    this.vertx = vertx;
    this.binding = binding;
    this.limits = limits;
    this.dependencies = dependencies;
    this.handler =
        new CallerHandler(vertx, dependencies, limits, new RequestIds(dependencies.daemon()));
    this.connections = new ConnectionGuard(vertx, limits);
    this.listeningPort = new ListeningPort(vertx);
  }

  /**
   * Starts to listen.
   *
   * @return the port
   */
  public Future<Integer> start() {
    return vertx
        .deployVerticle(Listener::new, new DeploymentOptions().setInstances(binding.eventLoops()))
        .map(
            id -> {
              deployment = id;
              LOG.atInfo()
                  .addKeyValue("address", binding.address())
                  .addKeyValue("port", port.get())
                  .log("serving callers");
              return port.get();
            });
  }

  /** Returns the phase of the stop. */
  public StopPhase phase() {
    return phase;
  }

  /** Returns the number of open connections of callers. */
  public int openConnections() {
    return connections.open();
  }

  /**
   * Stops in three phases: not ready, refusing new requests, closed.
   *
   * @param notReadyMillis time in which the load balancer stops sending requests; at least one
   *     millisecond
   * @param finishWithinMillis time in which running requests may finish
   * @return the number of requests that were still running at the end and were cut off
   */
  public Future<Integer> stop(long notReadyMillis, long finishWithinMillis) {
    enter(StopPhase.NOT_READY);
    Promise<Integer> closed = Promise.promise();
    vertx.setTimer(
        Math.max(1, notReadyMillis),
        waited -> {
          enter(StopPhase.FINISHING);
          finish(dependencies.clock().millis() + finishWithinMillis, closed);
        });
    return closed.future();
  }

  private void finish(long untilMillis, Promise<Integer> closed) {
    int running = Math.max(dependencies.registry().size(), connections.activeRequests());
    if (running > 0 && dependencies.clock().millis() < untilMillis) {
      vertx.setTimer(FINISH_CHECK_MILLIS, waited -> finish(untilMillis, closed));
      return;
    }
    dependencies
        .registry()
        .endAll(
            Refusal.unknown(RefusalReason.STOPPING, "The time for the stop of this daemon ended."));
    listeningPort
        .close()
        .compose(portClosed -> Future.join(listeners.stream().map(Listening::shutdown).toList()))
        .eventually(() -> vertx.undeploy(deployment))
        .onComplete(
            done -> {
              enter(StopPhase.CLOSED);
              closed.complete(running);
            });
  }

  private void enter(StopPhase next) {
    phase = next;
    LOG.atInfo()
        .addKeyValue("phase", next.code())
        .addKeyValue("running", dependencies.registry().size())
        .log("stopping");
  }

  private void opened(HttpConnection connection) {
    listeningPort.accepted(connection);
    connections.opened(connection);
  }

  private void serve(HttpServerRequest request) {
    if (!connections.admit(request)) {
      handler.refuse(
          request,
          Refusal.notRun(
              RefusalReason.CONNECTION_LIMIT,
              "Too many connections; allowed: " + limits.maximumConnections() + "."),
          true);
    } else if (phase.isAccepting()) {
      handler.handle(request);
    } else {
      handler.refuse(
          request, Refusal.notRun(RefusalReason.STOPPING, "This daemon is being stopped."), true);
    }
  }

  private void invalid(HttpServerRequest request) {
    boolean tooLong = request.decoderResult().cause() instanceof TooLongHttpHeaderException;
    Refusal refusal =
        tooLong
            ? Refusal.notRun(
                RefusalReason.HEADERS_TOO_LARGE,
                "The headers are too large; allowed: " + limits.maximumHeaderBytes() + " bytes.")
            : Refusal.notRun(RefusalReason.MALFORMED_REQUEST, "The request is not HTTP.");
    handler.refuse(request, refusal, true);
  }

  /** A server on one event loop. */
  private record Listening(Vertx vertx, Context context, HttpServer server) {

    /**
     * Closes each connection once its response is written. The time for the last requests begins
     * behind the connections that wait for this event loop, which the library would drop.
     */
    Future<Void> shutdown() {
      Promise<Void> closed = Promise.promise();
      context.runOnContext(
          begins ->
              vertx
                  .timer(LAST_REQUESTS_MILLIS)
                  .compose(passed -> server.shutdown(LAST_RESPONSES_MILLIS, TimeUnit.MILLISECONDS))
                  .onComplete(closed));
      return closed.future();
    }
  }

  private final class Listener extends VerticleBase {
    @Override
    public Future<?> start() {
      HttpServerOptions options =
          ServerOptions.http1()
              .setHost(binding.address())
              .setPort(binding.port() == 0 ? SHARED_FREE_PORT : binding.port())
              .setMaxHeaderSize(limits.maximumHeaderBytes())
              .setTcpNoDelay(true);
      HttpServer server =
          vertx
              .createHttpServer(options)
              .connectionHandler(CallerServer.this::opened)
              .invalidRequestHandler(CallerServer.this::invalid)
              .requestHandler(CallerServer.this::serve);
      listeners.add(new Listening(vertx, context, server));
      return server.listen().onSuccess(listening -> port.set(listening.actualPort()));
    }
  }
}
