package org.marjoramsail.command.fleet;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.load.LoadTarget;

/** Makes parts of a fleet fail while a workload runs. */
final class FaultSchedule {

  private final Vertx vertx;
  private final LocalFleet fleet;
  private final FleetSetup setup;
  private final List<Long> timers = new ArrayList<>();
  private final Optional<FleetDaemon> victim;
  private int nextEngine;

  FaultSchedule(Vertx vertx, LocalFleet fleet, FleetSetup setup) {
    this.vertx = vertx;
    this.fleet = fleet;
    this.setup = setup;
    String model = setup.deployment().servers().model();
    this.victim =
        setup.faults().ownerDeathAtMillis() == 0
            ? Optional.empty()
            : fleet.daemons().stream().filter(daemon -> daemon.isDecidingFor(model)).findFirst();
  }

  /**
   * Where callers send requests: not to the daemon that will die, since with it their connections
   * would break, and a run shows what its death costs all others.
   */
  List<LoadTarget> targets() {
    int dying = victim.map(fleet.daemons()::indexOf).orElse(-1);
    List<LoadTarget> targets = new ArrayList<>(fleet.targets());
    if (dying >= 0) {
      targets.remove(dying);
    }
    return targets;
  }

  void start() {
    long every = setup.faults().decodeCrashEveryMillis();
    if (every > 0) {
      timers.add(vertx.setPeriodic(every, timer -> crashNextEngine()));
    }
    victim.ifPresent(
        daemon ->
            timers.add(
                vertx.setTimer(setup.faults().ownerDeathAtMillis(), timer -> daemon.kill())));
  }

  void stop() {
    timers.forEach(vertx::cancelTimer);
  }

  private void crashNextEngine() {
    List<EngineStandIn> engines =
        fleet.engines().stream()
            .filter(engine -> engine.settings().role() == UpstreamRole.DECODE)
            .toList();
    engines.get(nextEngine % engines.size()).crash(setup.timings().restartMillis());
    nextEngine++;
  }
}
