package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.internal.VertxInternal;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.marjoramsail.daemon.assembly.DaemonRuntime;

/** A real daemon of a local fleet. */
final class RuntimeFleetDaemon implements FleetDaemon {

  private final Vertx vertx;
  private final DaemonRuntime runtime;
  private volatile boolean killed;

  RuntimeFleetDaemon(Vertx vertx, DaemonRuntime runtime) {
    this.vertx = vertx;
    this.runtime = runtime;
  }

  @Override
  public int callerPort() {
    return runtime.callerPort();
  }

  @Override
  public int operatorPort() {
    return runtime.operatorPort();
  }

  @Override
  public int peerPort() {
    return runtime.peerPort();
  }

  @Override
  public boolean isDecidingFor(String service) {
    return runtime.shards().stream()
        .anyMatch(view -> view.shard().service().equals(service) && !view.upstreams().isEmpty());
  }

  /** A killed daemon has no event loop left on which a stop could run. */
  @Override
  public Future<Void> stop() {
    if (killed) {
      return Future.succeededFuture();
    }
    return Future.fromCompletionStage(runtime.stop(phase -> {}))
        .<Void>mapEmpty()
        .eventually(() -> vertx.close());
  }

  /** Closing the event loops breaks all connections without a word, as the death of a process. */
  @Override
  public Future<Void> kill() {
    killed = true;
    return vertx.close();
  }

  @Override
  public OptionalLong violations() {
    return OptionalLong.of(runtime.violations());
  }

  /** Holds all event loops, so that nothing is read, sent or timed meanwhile. */
  @Override
  public void pause(long millis) {
    long nanos = TimeUnit.MILLISECONDS.toNanos(millis);
    ((VertxInternal) vertx)
        .eventLoopGroup()
        .forEach(loop -> loop.execute(() -> LockSupport.parkNanos(nanos)));
  }
}
