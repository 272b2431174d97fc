package org.marjoramsail.daemon.fleet;

import java.util.List;
import java.util.function.Consumer;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.daemon.fleet.FleetSimulation.End;
import org.marjoramsail.daemon.fleet.FleetSimulation.RequestKind;
import org.marjoramsail.daemon.fleet.FleetSimulation.Size;
import org.marjoramsail.standin.load.ArrivalLog;

/**
 * Run of a fleet that serves one organisation with a limit in requests, and what the limit allows.
 *
 * @param hosts number of hosts
 * @param demandPerSecond requests that its callers send
 * @param seed seed of the simulation
 */
record FleetRateScenario(int hosts, double demandPerSecond, long seed) {

  static final double REQUESTS_PER_SECOND = 20;

  /** When faults begin; the fleet has settled by then if it started at zero. */
  static final long FAULT_MILLIS = 12_000;

  static final long END_MILLIS = 30_000;

  /** Allowed part above the limit. */
  private static final double OVERSHOOT = 0.1;

  /** Allowed requests in addition, in seconds of the limit. */
  private static final double SLACK_SECONDS = 4;

  private static final double BURST_SECONDS = 1;

  /**
   * What upstreams and callers observed.
   *
   * @param mostInWindow most requests that arrived in any window
   * @param sent requests that callers sent
   * @param notServed those that were not served
   * @param aboveRate those that were refused because of the rate limit
   * @param servedAtMillis when the requests that were served were sent
   */
  record Outcome(
      int mostInWindow, int sent, int notServed, int aboveRate, List<Long> servedAtMillis) {

    /** Returns the number of requests that were sent since a time and served. */
    int servedSince(long fromMillis) {
      return (int) servedAtMillis.stream().filter(millis -> millis >= fromMillis).count();
    }
  }

  /** Returns the most requests that may arrive in a window. */
  static int allowedInWindow() {
    double windowSeconds = ArrivalLog.WINDOW_MILLIS / 1_000.0;
    double seconds = (1 + OVERSHOOT) * (windowSeconds + BURST_SECONDS) + SLACK_SECONDS;
    return (int) (REQUESTS_PER_SECOND * seconds);
  }

  /** Runs the scenario with faults that are set up before the hosts start. */
  Outcome run(Consumer<FleetSimulation> faults) {
    return run(faults, END_MILLIS);
  }

  /** Runs the scenario until a time, with faults that are set up before the hosts start. */
  Outcome run(Consumer<FleetSimulation> faults, long endMillis) {
    OrganisationDefinition limited =
        new OrganisationDefinition(
            FleetSimulation.ORGANISATION, List.of(), List.of(), 1, 0, REQUESTS_PER_SECOND, 0);
    FleetSimulation fleet = new FleetSimulation(new Size(hosts, 10, 6, 0), seed, List.of(limited));
    faults.accept(fleet);
    fleet.load(RequestKind.LOOKUP, demandPerSecond, 0, endMillis);
    fleet.startAll();
    fleet.run(endMillis);
    int notServed = (int) fleet.ends().stream().filter(end -> !end.served()).count();
    return new Outcome(
        fleet.arrivals(FleetSimulation.PLAIN).mostFirstArrivals(),
        fleet.ends().size(),
        notServed,
        fleet.refusals(RefusalReason.ORGANISATION_RATE),
        fleet.ends().stream().filter(End::served).map(End::sentAtMillis).toList());
  }
}
