package org.marjoramsail.core.routing;

import java.util.List;
import java.util.Optional;

/**
 * One version of the routes and services that an operator has put in force.
 *
 * @param version rises with each change, in uneven steps
 * @param routes where requests go
 * @param services what they go to
 * @param bounds what callers may cost
 */
public record RoutingConfiguration(
    long version, RouteTable routes, List<RoutedService> services, CallerBounds bounds) {

  /** Copies the list, so that the value cannot change. */
  public RoutingConfiguration {
    services = List.copyOf(services);
  }

  /** What is known of a service. */
  public Optional<RoutedService> service(String name) {
    return services.stream().filter(service -> service.name().equals(name)).findFirst();
  }
}
