package org.marjoramsail.core.configuration;

import java.util.List;
import java.util.Optional;

/**
 * One accepted configuration, whole and immutable.
 *
 * @param revision rises by one with each accepted change; zero is the empty configuration
 * @param services what callers can ask for
 * @param models the models and the versions that pools should run
 * @param upstreams the servers
 * @param rules which requests may wait, which must be quick, which may run only once
 * @param organisations who may call, and how much
 */
public record Configuration(
    long revision,
    List<ServiceDefinition> services,
    List<ModelDefinition> models,
    List<UpstreamDefinition> upstreams,
    List<RuleDefinition> rules,
    List<OrganisationDefinition> organisations) {

  /** Copies the lists, so that the value cannot change. */
  public Configuration {
    services = List.copyOf(services);
    models = List.copyOf(models);
    upstreams = List.copyOf(upstreams);
    rules = List.copyOf(rules);
    organisations = List.copyOf(organisations);
  }

  /** The configuration of a daemon that has not heard of any. */
  public static Configuration empty() {
    return new Configuration(0, List.of(), List.of(), List.of(), List.of(), List.of());
  }

  /** The service of that name. */
  public Optional<ServiceDefinition> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }

  /** The rules of a service, in the order in which they are tried. */
  public List<RuleDefinition> rulesOf(String service) {
    return rules.stream().filter(rule -> rule.service().equals(service)).toList();
  }

  /** The upstreams of a service. */
  public List<UpstreamDefinition> upstreamsOf(String service) {
    return upstreams.stream().filter(upstream -> upstream.service().equals(service)).toList();
  }
}
