package org.marjoramsail.standin.server;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.Optional;
import java.util.OptionalLong;

/** Starts, stops, crashes and restarts one upstream stand-in; its methods are for any thread. */
public final class UpstreamHost {

  private final Vertx vertx;
  private final UpstreamVerticle verticle;
  private volatile Optional<String> deployment = Optional.empty();

  /** Creates an instance with the upstream that it runs. */
  public UpstreamHost(Vertx vertx, UpstreamVerticle verticle) {
    this.vertx = vertx;
    this.verticle = verticle;
  }

  /** Listens, and gives the port. */
  public Future<Integer> start() {
    return vertx
        .deployVerticle(verticle)
        .map(
            identifier -> {
              deployment = Optional.of(identifier);
              return verticle.port();
            });
  }

  /** Stops for good. */
  public Future<Void> stop() {
    Optional<String> running = deployment;
    deployment = Optional.empty();
    return running.map(vertx::undeploy).orElseGet(Future::succeededFuture);
  }

  /** Crashes it; it starts again after {@code downMillis}, or stays down without. */
  public Future<Void> crash(OptionalLong downMillis) {
    return verticle.call(() -> verticle.crash(downMillis));
  }

  /** Brings a crashed one back. */
  public Future<Void> restart() {
    return verticle.call(verticle::restart);
  }
}
