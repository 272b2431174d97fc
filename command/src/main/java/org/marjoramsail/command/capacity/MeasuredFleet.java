package org.marjoramsail.command.capacity;

import io.vertx.core.Vertx;
import org.marjoramsail.command.fleet.Deployment;
import org.marjoramsail.command.fleet.FleetSetup;
import org.marjoramsail.command.fleet.LocalFleet;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.standin.engine.EngineTimings;

/** One measured daemon before the stand-ins of a deployment, which run on loops of their own. */
final class MeasuredFleet implements AutoCloseable {

  private static final long LIMIT_SECONDS = 60;

  private final Vertx standIns = Vertx.vertx();
  private final MeasuredDaemons daemons = new MeasuredDaemons();
  private final LocalFleet fleet;

  private MeasuredFleet(Bench bench) {
    FleetSetup setup =
        new FleetSetup(
            Deployment.CABILDO_ABIERTO,
            1,
            PlacementPolicy.RESERVE.code(),
            bench.seed(),
            EngineTimings.defaults());
    this.fleet = new LocalFleet(standIns, bench.clock(), setup, daemons);
  }

  /** Starts a fleet. */
  static MeasuredFleet started(Bench bench) throws CapacityException {
    MeasuredFleet measured = new MeasuredFleet(bench);
    Waiting.on("start the fleet", measured.fleet.start(), LIMIT_SECONDS);
    return measured;
  }

  LocalFleet fleet() {
    return fleet;
  }

  /** Where stand-ins and senders run. */
  Vertx standIns() {
    return standIns;
  }

  /** Processor time of the daemon's event loop so far, in milliseconds. */
  double processorMillis() throws CapacityException {
    return daemons.loop().processorMillis();
  }

  @Override
  public void close() throws CapacityException {
    Waiting.on(
        "stop the fleet",
        fleet.stop().eventually(daemons.loop()::close).eventually(standIns::close),
        LIMIT_SECONDS);
  }
}
