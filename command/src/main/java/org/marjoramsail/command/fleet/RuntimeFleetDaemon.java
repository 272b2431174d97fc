package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import org.marjoramsail.daemon.assembly.DaemonRuntime;

/** A real daemon of a local fleet. */
final class RuntimeFleetDaemon implements FleetDaemon {

  private final Vertx vertx;
  private final DaemonRuntime runtime;
  private final int eventLoops;
  private volatile boolean killed;

  RuntimeFleetDaemon(Vertx vertx, DaemonRuntime runtime, int eventLoops) {
    this.vertx = vertx;
    this.runtime = runtime;
    this.eventLoops = eventLoops;
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
    return Future.fromCompletionStage(runtime.stop(phase -> {})).eventually(() -> vertx.close());
  }

  /** Closing the event loops breaks all connections without a word, as the death of a process. */
  @Override
  public Future<Void> kill() {
    killed = true;
    return vertx.close();
  }

  /** Holds all event loops, so that nothing is read, sent or timed meanwhile. */
  @Override
  public void pause(long millis) {
    for (int loop = 0; loop < eventLoops; loop++) {
      vertx
          .getOrCreateContext()
          .runOnContext(nothing -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(millis)));
    }
  }
}
