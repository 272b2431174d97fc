package org.marjoramsail.core.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Index of the routes of one host by path prefix.
 *
 * <p>Prefixes that end with a slash are looked up in a map, once for each segment of the path. The
 * cost of a lookup therefore grows with the number of segments and not with the number of routes,
 * of which there may be thousands. Other prefixes are scanned.
 */
final class HostRoutes {

  private static final char SLASH = '/';
  private static final Comparator<Route> BY_LENGTH =
      Comparator.comparingInt(route -> route.pathPrefix().length());

  private final Map<String, Route> bySegments = new HashMap<>();
  private final List<Route> others = new ArrayList<>();
  private int longestPrefix;

  /** Adds a route, unless a route with the same prefix exists. */
  void add(Route route) {
    String prefix = route.pathPrefix();
    if (!prefix.isEmpty() && prefix.charAt(prefix.length() - 1) == SLASH) {
      bySegments.putIfAbsent(prefix, route);
      longestPrefix = Math.max(longestPrefix, prefix.length());
    } else if (others.stream().noneMatch(existing -> existing.pathPrefix().equals(prefix))) {
      others.add(route);
    }
  }

  /** Returns the route with the longest prefix that matches the path. */
  Optional<Route> find(String path) {
    Optional<Route> found = findBySegments(path);
    if (others.isEmpty()) {
      return found;
    }
    Optional<Route> other =
        others.stream().filter(route -> path.startsWith(route.pathPrefix())).max(BY_LENGTH);
    return other
        .filter(route -> found.isEmpty() || BY_LENGTH.compare(route, found.get()) > 0)
        .or(() -> found);
  }

  private Optional<Route> findBySegments(String path) {
    int end = path.lastIndexOf(SLASH, longestPrefix - 1) + 1;
    while (end > 0) {
      Route route = bySegments.get(path.substring(0, end));
      if (route != null) {
        return Optional.of(route);
      }
      end = path.lastIndexOf(SLASH, end - 2) + 1;
    }
    return Optional.empty();
  }
}
