package org.marjoramsail.command.fleet;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import org.marjoramsail.core.outcome.Invariants;
import org.marjoramsail.daemon.assembly.DaemonRuntime;
import org.marjoramsail.daemon.assembly.SystemClock;
import org.marjoramsail.daemon.settings.Settings;

/** Starts real daemons, each on event loops of its own so that it can die or pause alone. */
public final class RuntimeDaemons implements FleetDaemonFactory {

  private static final int EVENT_LOOPS = 2;

  /** Found by name as a service. */
  public RuntimeDaemons() {}

  @Override
  public Future<FleetDaemon> start(Settings settings) {
    Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    DaemonRuntime runtime =
        new DaemonRuntime(vertx, settings, new SystemClock(), Invariants.Mode.THROW);
    return runtime
        .start()
        .<FleetDaemon>map(started -> new RuntimeFleetDaemon(vertx, started, EVENT_LOOPS))
        .onFailure(failure -> vertx.close());
  }
}
