package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

/** Finds the route of a request: the one of its host with the longest matching path prefix. */
public final class RouteTable {

  /** The least urgent priority of requests that engines distinguish; zero is the most urgent. */
  private static final int LEAST_URGENT_ENGINE_PRIORITY = 9;

  private final Map<String, HostRoutes> byHost = new HashMap<>();

  private final List<Route> all;
  private final UrgencyRanks urgencyRanks;

  /** Indexes routes; of two with the same host and prefix, the first in the list wins. */
  public RouteTable(List<Route> routes) {
    all = List.copyOf(routes);
    urgencyRanks = new UrgencyRanks(routes);
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HostRoutes()).add(route);
    }
  }

  /** Returns all routes, in their order. */
  public List<Route> all() {
    return all;
  }

  /** Returns the urgency of a route among all routes to one of its services. */
  public int urgency(Route route, String service) {
    return urgencyRanks.rankOf(route, service);
  }

  /**
   * Returns the priority of a route for the engines of one of its services; empty if all routes to
   * the service have the same one.
   */
  public OptionalInt enginePriority(Route route, String service) {
    return urgencyRanks.hasSeveral(service)
        ? OptionalInt.of(Math.max(0, Math.min(LEAST_URGENT_ENGINE_PRIORITY, route.priority())))
        : OptionalInt.empty();
  }

  /**
   * Returns the route of a request.
   *
   * @param host the host in the request; its case and port are ignored
   * @param path the path of the request without the query
   */
  public Optional<Route> find(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    return Optional.ofNullable(byHost.get(name)).flatMap(routes -> routes.find(path));
  }
}
