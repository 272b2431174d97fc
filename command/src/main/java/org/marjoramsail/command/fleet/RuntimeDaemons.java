package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import java.util.concurrent.CompletableFuture;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.daemon.assembly.DaemonRuntime;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.settings.Settings;

/** Starts real daemons, each on event loops of its own so that it can die or pause alone. */
public final class RuntimeDaemons implements FleetDaemonFactory {

  private static final int EVENT_LOOPS = 2;

  /** Found by name as a service. */
  public RuntimeDaemons() {}

  /** The event loops are made on another thread, since they belong to no other daemon's. */
  @Override
  public Future<FleetDaemon> start(Settings settings) {
    VertxOptions options = new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS);
    return Future.fromCompletionStage(CompletableFuture.supplyAsync(() -> Vertx.vertx(options)))
        .compose(vertx -> start(vertx, settings));
  }

  private static Future<FleetDaemon> start(Vertx vertx, Settings settings) {
    DaemonRuntime runtime =
        new DaemonRuntime(vertx, settings, new SystemClock(), Invariants.Mode.THROW);
    return runtime
        .start()
        .<FleetDaemon>map(started -> new RuntimeFleetDaemon(vertx, started))
        .onFailure(failure -> vertx.close());
  }
}
