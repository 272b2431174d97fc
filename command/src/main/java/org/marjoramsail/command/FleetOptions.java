package org.marjoramsail.command;

import com.github.rvesse.airline.annotations.Option;
import org.marjoramsail.command.fleet.Deployment;
import org.marjoramsail.command.fleet.FleetRun;
import org.marjoramsail.command.fleet.FleetSetup;
import org.marjoramsail.core.failure.MarjoramsailException;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.standin.engine.EngineTimings;
import org.marjoramsail.standin.load.LoadReport;
import org.marjoramsail.standin.load.PromptLengths;
import org.marjoramsail.standin.load.WorkloadDefinition;

/** The options that decide a local fleet, for all commands that start one. */
final class FleetOptions {

  private static final String DAEMONS = "--daemons";
  private static final String POLICY = "--policy";
  private static final int MOST_DAEMONS = 50;

  /** From the users: about twenty requests a decode engine. */
  private static final int DECODE_SLOTS = 20;

  @Option(name = DAEMONS, title = "daemons", description = "How many daemons, 1 to 50. Default: 7")
  private int daemons = Deployment.DAEMONS;

  @Option(name = POLICY, title = "policy", description = "The placement policy. Default: reserve")
  private String policy = "reserve";

  /** Runs the workload against a fleet with the chosen policy. */
  LoadReport run(WorkloadOptions workload, Surroundings surroundings) throws MarjoramsailException {
    return run(workload.definition(capacity(workload)), chosenPolicy(), surroundings);
  }

  /** Runs the workload against a fleet with the given policy. */
  LoadReport run(WorkloadDefinition definition, PlacementPolicy policy, Surroundings surroundings)
      throws MarjoramsailException {
    FleetSetup setup = setup(definition, policy);
    RunProgress progress = new RunProgress(surroundings.errors(), surroundings.clock());
    FleetRun run = new FleetRun(surroundings.clock(), surroundings.daemons().orElseThrow());
    return run.run(setup, definition, progress);
  }

  /** The fleet for a workload, with the chosen policy. */
  FleetSetup setup(WorkloadDefinition definition) throws UsageException {
    return setup(definition, chosenPolicy());
  }

  private FleetSetup setup(WorkloadDefinition definition, PlacementPolicy of)
      throws UsageException {
    if (daemons < 1 || daemons > MOST_DAEMONS) {
      throw new UsageException(DAEMONS, Integer.toString(daemons), "1 to " + MOST_DAEMONS);
    }
    return new FleetSetup(
        Deployment.of(definition.mix()),
        daemons,
        of.code(),
        definition.seed(),
        EngineTimings.defaults());
  }

  /** What the deployment can carry, in requests of its mix a second. */
  double capacity(WorkloadOptions workload) throws UsageException {
    return Deployment.of(workload.mix())
        .capacityPerSecond(EngineTimings.defaults(), PromptLengths.assumed(), DECODE_SLOTS);
  }

  private PlacementPolicy chosenPolicy() throws UsageException {
    return Choice.of(POLICY, policy, PlacementPolicy.values(), PlacementPolicy::code);
  }
}
