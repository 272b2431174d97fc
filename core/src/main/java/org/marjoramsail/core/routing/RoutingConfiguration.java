package org.marjoramsail.core.routing;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.configuration.OrganisationKeys;

/**
 * One version of the routes and services that an operator has put in force.
 *
 * @param version rises with each change, in uneven steps
 * @param routes where requests go
 * @param services what they go to
 * @param limits what callers may cost
 * @param organisations who may call, and how much; empty where anybody may
 * @param keys by which their callers are known
 */
public record RoutingConfiguration(
    long version,
    RouteTable routes,
    List<RoutedService> services,
    CallerLimits limits,
    List<OrganisationDefinition> organisations,
    OrganisationKeys keys) {

  /** Copies the list, so that the value cannot change. */
  public RoutingConfiguration {
    services = List.copyOf(services);
    organisations = List.copyOf(organisations);
  }

  /** A configuration that anybody may use as much as they like. */
  public RoutingConfiguration(
      long version, RouteTable routes, List<RoutedService> services, CallerLimits limits) {
    this(version, routes, services, limits, List.of(), OrganisationKeys.NONE);
  }

  /** The same with organisations, whose callers alone may use it. */
  public RoutingConfiguration withOrganisations(List<OrganisationDefinition> replacements) {
    return new RoutingConfiguration(
        version, routes, services, limits, replacements, new OrganisationKeys(replacements));
  }

  /** Whether callers have to show a key. */
  public boolean isKeyed() {
    return !organisations.isEmpty();
  }

  /** What is known of a service. */
  public Optional<RoutedService> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
