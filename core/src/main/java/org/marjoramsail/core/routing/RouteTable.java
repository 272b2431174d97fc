package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;

/** Finds the route of a request: among those of its host the one with the longest prefix. */
public final class RouteTable {

  private final Map<String, HostRoutes> byHost = new HashMap<>();

  /** Indexes routes; of two with one host and prefix the first in the list counts. */
  public RouteTable(List<Route> routes) {
    for (Route route : routes) {
      byHost.computeIfAbsent(route.host(), host -> new HostRoutes()).add(route);
    }
  }

  /**
   * The route of a request.
   *
   * @param host what the caller names; case and a port do not matter
   * @param path path without the query
   */
  public Optional<Route> find(String host, String path) {
    int colon = host.indexOf(':');
    String name = (colon < 0 ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
    return Optional.ofNullable(byHost.get(name)).flatMap(routes -> routes.find(path));
  }
}
