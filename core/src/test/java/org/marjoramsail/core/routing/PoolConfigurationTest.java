package org.marjoramsail.core.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

class PoolConfigurationTest {

  private final Configuration pools =
      PoolConfiguration.of(
          3,
          new RoutingConfiguration(
              7,
              new RouteTable(List.of()),
              List.of(
                  new RoutedService("desk", 100, Optional.empty()),
                  new RoutedService(
                      "engines",
                      100,
                      Optional.of(new EngineProfile(16, 30_000, 18_432, 1, 11, 500, 6_000)))),
              new CallerLimits(1, 1, 1, 1)),
          List.of(
              upstream("plain", "desk", UpstreamRole.PLAIN),
              upstream("decode", "engines", UpstreamRole.DECODE),
              upstream("stranger", "elsewhere", UpstreamRole.PLAIN)));

  @Test
  void servicesWithEnginesRunAModel() {
    assertThat(pools.service("engines").orElseThrow().kind()).isEqualTo(ServiceKind.MODEL);
    assertThat(pools.service("desk").orElseThrow().kind()).isEqualTo(ServiceKind.PLAIN);
  }

  /** Guards against a plain server that is idle between a response and the owner's next grant. */
  @Test
  void aPlainServerGetsExtraQueuedRequestsAndAnEngineDoesNot() {
    assertThat(pools.upstreamsOf("desk").get(0).slots()).isEqualTo(8);
    assertThat(pools.upstreamsOf("engines").get(0).slots()).isEqualTo(6);
  }

  @Test
  void enginesGetTheMemoryOfTheirServiceProfile() {
    assertThat(pools.upstreamsOf("engines").get(0).memoryTokens()).contains(30_000);
    assertThat(pools.upstreamsOf("desk").get(0).memoryTokens()).isEmpty();
  }

  @Test
  void upstreamsOfUnknownServicesAreOmitted() {
    assertThat(pools.upstreamsOf("elsewhere")).isEmpty();
  }

  private static UpstreamDefinition upstream(String name, String service, UpstreamRole role) {
    return new UpstreamDefinition(
        new UpstreamName(name), service, role, "10.0.0.1", 80, "zone", "region", 6, true, false);
  }
}
