package org.marjoramsail.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Combines the services of a routing configuration with the known upstreams. */
public final class PoolConfiguration {

  /**
   * Number of slots of a plain server for which it gets one more request, which it queues. Without
   * queued requests, the server would be idle between a response and the next request, which has to
   * be granted by the owner of the pool first. Engines get no additional requests, since they
   * preempt those beyond their slots.
   */
  private static final int SLOTS_PER_QUEUED_REQUEST = 3;

  private PoolConfiguration() {}

  /**
   * Returns the configuration of the pools in which placement assigns requests to upstreams.
   *
   * @param revision the revision of the result; has to increase with each call
   * @param routing the routing configuration in force
   * @param upstreams the known upstreams; those of unknown services are omitted
   */
  public static Configuration of(
      long revision, RoutingConfiguration routing, List<UpstreamDefinition> upstreams) {
    List<ServiceDefinition> services = new ArrayList<>();
    List<ModelDefinition> models = new ArrayList<>();
    for (RoutedService service : routing.services()) {
      ServiceKind kind = service.engines().isPresent() ? ServiceKind.MODEL : ServiceKind.PLAIN;
      services.add(
          new ServiceDefinition(
              service.name(), kind, service.engines().map(profile -> service.name())));
      service
          .engines()
          .ifPresent(
              profile ->
                  models.add(
                      new ModelDefinition(
                          service.name(), "listed", List.of(), profile.kvBytesPerToken())));
    }
    List<UpstreamDefinition> routedUpstreams = new ArrayList<>();
    for (UpstreamDefinition upstream : upstreams) {
      routing
          .service(upstream.service())
          .ifPresent(service -> routedUpstreams.add(withCapacityOf(upstream, service.engines())));
    }
    return new Configuration(
        revision, services, models, routedUpstreams, List.of(), routing.organisations());
  }

  private static UpstreamDefinition withCapacityOf(
      UpstreamDefinition upstream, Optional<EngineProfile> profile) {
    int slots = upstream.slots();
    return upstream.withCapacity(
        profile.isPresent() ? slots : slots + slots / SLOTS_PER_QUEUED_REQUEST,
        profile.map(EngineProfile::memoryTokens));
  }
}
