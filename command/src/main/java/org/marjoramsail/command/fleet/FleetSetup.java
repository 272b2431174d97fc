package org.marjoramsail.command.fleet;

import org.marjoramsail.standin.engine.EngineTimings;

/**
 * What a local fleet is.
 *
 * @param deployment whose servers it has
 * @param daemons how many daemons
 * @param policy the code of the placement policy
 * @param seed decides what the stand-ins draw
 * @param timings the engines' rates and delays
 * @param warmUpMillis for how long requests are sent before the run, in milliseconds
 * @param faults what is made to fail during the run
 */
public record FleetSetup(
    Deployment deployment,
    int daemons,
    String policy,
    long seed,
    EngineTimings timings,
    long warmUpMillis,
    FleetFaults faults) {

  /** A fleet without warm-up in which nothing is made to fail. */
  public FleetSetup(
      Deployment deployment, int daemons, String policy, long seed, EngineTimings timings) {
    this(deployment, daemons, policy, seed, timings, 0, FleetFaults.none());
  }
}
