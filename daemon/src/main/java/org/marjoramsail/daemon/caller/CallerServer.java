package org.marjoramsail.daemon.caller;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.atomic.AtomicInteger;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Serves callers over HTTP on several event loops. */
public final class CallerServer {

  private static final Logger LOG = LoggerFactory.getLogger(CallerServer.class);

  /** Lets all event loops share one port that the system chooses. */
  private static final int SHARED_FREE_PORT = -1;

  private static final long FINISH_CHECK_MILLIS = 20;

  private final Vertx vertx;
  private final CallerBinding binding;
  private final CallerLimits limits;
  private final CallerDependencies dependencies;
  private final CallerHandler handler;
  private final ConnectionGuard connections;
  private final AtomicInteger port = new AtomicInteger();
  private volatile StopPhase phase = StopPhase.SERVING;
  private volatile String deployment = "";

  /**
   * Creates an instance with all that it needs; serves nobody yet.
   *
   * @param vertx runs the event loops
   * @param binding where to listen
   * @param limits what callers may cost
   * @param dependencies the rest of the daemon
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
  }

  /** Starts to serve; gives the port. */
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

  /** How far it has stopped. */
  public StopPhase phase() {
    return phase;
  }

  /** How many connections of callers are open. */
  public int openConnections() {
    return connections.open();
  }

  /**
   * Stops without cutting off a request: not ready, then refusing, then closed.
   *
   * @param notReadyMillis how long the balancer may take to notice; at least one
   * @param finishWithinMillis how long running requests may take
   * @return how many requests were still running at the end; zero when none was cut off
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
    int running = dependencies.registry().size();
    if (running > 0 && dependencies.clock().millis() < untilMillis) {
      vertx.setTimer(FINISH_CHECK_MILLIS, waited -> finish(untilMillis, closed));
      return;
    }
    vertx
        .undeploy(deployment)
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

  private final class Listener extends VerticleBase {
    @Override
    public Future<?> start() {
      HttpServerOptions options =
          new HttpServerOptions()
              .setHost(binding.address())
              .setPort(binding.port() == 0 ? SHARED_FREE_PORT : binding.port())
              .setMaxHeaderSize(limits.maximumHeaderBytes())
              // With HTTP/2 in clear text the library hides a connection until its first bytes, so
              // that connections which send nothing would be neither counted nor closed in time.
              .setHttp2ClearTextEnabled(false)
              .setTcpNoDelay(true);
      HttpServer server =
          vertx
              .createHttpServer(options)
              .connectionHandler(connections::opened)
              .invalidRequestHandler(CallerServer.this::invalid)
              .requestHandler(CallerServer.this::serve);
      return server.listen().onSuccess(listening -> port.set(listening.actualPort()));
    }
  }
}
