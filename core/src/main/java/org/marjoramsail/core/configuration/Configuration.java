package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * One accepted revision of the configuration; complete and immutable.
 *
 * @param revision increases by one with each accepted change; zero is the empty configuration
 * @param services the services that callers can use
 * @param models the models and the versions of them that pools should run
 * @param upstreams the back ends of the services
 * @param rules latency targets, deadlines and repeatability of requests
 * @param organisations the organisations whose callers are served, with their limits
 */
public record Configuration(
    long revision,
    List<ServiceDefinition> services,
    List<ModelDefinition> models,
    List<UpstreamDefinition> upstreams,
    List<RuleDefinition> rules,
    List<OrganisationDefinition> organisations) {

  /** Copies the lists to make the record immutable. */
  public Configuration {
    services = List.copyOf(services);
    models = List.copyOf(models);
    upstreams = List.copyOf(upstreams);
    rules = List.copyOf(rules);
    organisations = List.copyOf(organisations);
  }

  /** Returns the configuration of a daemon that has not received any. */
  public static Configuration empty() {
    return new Configuration(0, List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /** Returns the service with this name, if it exists. */
  public Optional<ServiceDefinition> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** Returns the rules of a service, in the order in which they are evaluated. */
  public List<RuleDefinition> rulesOf(String service) {
    return rules.stream().filter(rule -> rule.service().equals(service)).toList();
  }

  /** Returns the upstreams of a service. */
  public List<UpstreamDefinition> upstreamsOf(String service) {
    return upstreams.stream().filter(upstream -> upstream.service().equals(service)).toList();
  }

  /** Returns the size of the KV cache of a token of a service's model, in bytes; zero for none. */
  public long kvBytesPerToken(String service) {
    return service(service)
        .flatMap(ServiceDefinition::model)
        .flatMap(name -> models.stream().filter(model -> model.name().equals(name)).findFirst())
        .map(ModelDefinition::kvBytesPerToken)
        .orElse(0L);
  }
}
