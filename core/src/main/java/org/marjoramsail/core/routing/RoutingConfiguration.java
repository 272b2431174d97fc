package org.marjoramsail.core.routing;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;

/**
 * One version of the routes, services and organisations that an operator has configured.
 *
 * @param version increases with each change, not necessarily by one
 * @param routes the routes of requests to services
 * @param services the services to which routes forward requests
 * @param limits limits on the size and duration of requests
 * @param organisations the organisations whose callers are served, with their limits; empty if
 *     every caller is served
 * @param keys the keys that identify the callers of organisations
 */
public record RoutingConfiguration(
    long version,
    RouteTable routes,
    List<RoutedService> services,
    CallerLimits limits,
    List<OrganisationDefinition> organisations,
    OrganisationKeys keys) {

  /** Copies the lists to make the record immutable. */
  public RoutingConfiguration {
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }

  /**
   * Creates a configuration without organisations, which serves every caller without rate limits.
   */
  public RoutingConfiguration(
      long version, RouteTable routes, List<RoutedService> services, CallerLimits limits) {
    this(version, routes, services, limits, List.of(), OrganisationKeys.NONE);
  }

  /** Returns a copy with these organisations; only their callers are served. */
  public RoutingConfiguration withOrganisations(List<OrganisationDefinition> replacements) {
    return new RoutingConfiguration(
        version, routes, services, limits, replacements, new OrganisationKeys(replacements));
  }

  /** Returns whether callers are identified by keys. */
  public boolean isKeyed() {
    return !organisations.isEmpty();
  }

  /** Returns the service with this name, if it is configured. */
  public Optional<RoutedService> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
