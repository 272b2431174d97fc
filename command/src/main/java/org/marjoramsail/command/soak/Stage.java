package org.marjoramsail.command.soak;

import org.marjoramsail.command.fleet.LocalFleet;
import org.marjoramsail.standin.engine.EngineStandIn;
import org.marjoramsail.standin.plain.PlainServiceStandIn;

/**
 * What faults act on.
 *
 * @param fleet the fleet
 * @param prefillEngines how many of its engines, the first ones, read prompts
 * @param poison sends prompts that crash engines
 */
record Stage(LocalFleet fleet, int prefillEngines, PoisonCaller poison) {

  EngineStandIn engine(FaultTarget target) {
    int first = target.group() == TargetGroup.PREFILL ? 0 : prefillEngines;
    return fleet.engines().get(first + target.number());
  }

  PlainServiceStandIn plainServer(FaultTarget target) {
    return fleet.plainServers().get(target.number());
  }

  /** Ends all faults that could outlast their plan. */
  void heal() {
    fleet.engines().forEach(Stage::heal);
    fleet.platform().slow(0);
    fleet.platform().loseAnswerOfNextWrites(0);
  }

  private static void heal(EngineStandIn engine) {
    engine.slowDown(1);
    engine.failTransfers(false);
    engine.refuseCancels(false);
  }
}
