package org.marjoramsail.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.ModelDefinition;
import org.marjoramsail.core.configuration.ServiceDefinition;
import org.marjoramsail.core.configuration.ServiceKind;
import org.marjoramsail.core.configuration.UpstreamDefinition;

/** Joins the services of a routing configuration and the upstreams that are believed in. */
public final class PoolConfiguration {

  /**
   * A plain server is given one request in so many slots beyond them, which it queues. Between the
   * end of an answer and the next request lie two messages to the owner of the pool; a server that
   * was left alone with all of a service stood idle for a third of its time meanwhile, while most
   * requests were refused. Engines get none: what they hold beyond is preempted.
   */
  private static final int SLOTS_PER_QUEUED_REQUEST = 3;

  private PoolConfiguration() {}

  /**
   * The pools that placement decides over.
   *
   * @param revision has to rise with each call
   * @param routing what the operator put in force
   * @param upstreams what is believed of upstreams; those of unknown services are left out
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
