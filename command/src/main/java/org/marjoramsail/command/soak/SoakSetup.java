package org.marjoramsail.command.soak;

import java.util.List;
import org.marjoramsail.command.fleet.FleetSetup;
import org.marjoramsail.standin.load.WorkloadDefinition;

/**
 * What a soak is.
 *
 * @param fleet the fleet
 * @param workload what is sent to it; its seed decides the faults too
 * @param kinds which faults may happen
 */
public record SoakSetup(FleetSetup fleet, WorkloadDefinition workload, List<SoakFault> kinds) {

  /** Copies the list, so that the value cannot change. */
  public SoakSetup {
    kinds = List.copyOf(kinds);
  }
}
