package org.marjoramsail.daemon.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.membership.VirtualFleet;
import org.marjoramsail.daemon.fleet.FleetSimulation.RequestKind;
import org.marjoramsail.daemon.fleet.FleetSimulation.Size;
import org.marjoramsail.standin.load.ArrivalLog;

/** The rate limit of an organisation over a whole fleet. */
final class FleetOrganisationRateTest {

  private static final int HOSTS = 77;
  private static final double REQUESTS_PER_SECOND = 20;
  private static final double DEMAND_PER_SECOND = 150;

  /** Allowed part above the limit. */
  private static final double OVERSHOOT = 0.1;

  /** Allowed requests in addition, in seconds of the limit. */
  private static final double SLACK_SECONDS = 4;

  private static final VirtualFleet.Network SLOW = new VirtualFleet.Network(0.1, 0, 200, 1_000);

  /** Guards against a whole rate for each daemon that does not know the others yet. */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void daemonsThatStartTogetherKeepToTheRateOfAnOrganisation(long seed) {
    OrganisationDefinition limited =
        new OrganisationDefinition(
            FleetSimulation.ORGANISATION, List.of(), List.of(), 1, 0, REQUESTS_PER_SECOND, 0);
    FleetSimulation fleet = new FleetSimulation(new Size(HOSTS, 10, 6, 0), seed, List.of(limited));
    fleet.membershipNetwork(SLOW);
    fleet.load(RequestKind.LOOKUP, DEMAND_PER_SECOND, 0, 20_000);
    fleet.startAll();
    fleet.run(20_000);

    double windowSeconds = ArrivalLog.WINDOW_MILLIS / 1_000.0;
    double burstSeconds = 1;
    double allowed =
        REQUESTS_PER_SECOND * ((1 + OVERSHOOT) * (windowSeconds + burstSeconds) + SLACK_SECONDS);
    assertThat(fleet.arrivals(FleetSimulation.PLAIN).mostFirstArrivals())
        .as("requests of one organisation in ten seconds")
        .isLessThanOrEqualTo((int) allowed);
  }
}
