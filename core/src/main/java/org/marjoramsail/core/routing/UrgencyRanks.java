package org.marjoramsail.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SortedSet;
import java.util.TreeSet;

/**
 * Ranks of routes by urgency among the routes to the same service.
 *
 * <p>Priorities are compared within a service only, since requests of different services do not
 * compete for the same upstreams. A service whose routes all have one priority has rank zero only.
 */
public final class UrgencyRanks {

  /** The least urgent rank; routes with more priorities than ranks share it. */
  public static final int LOWEST = 3;

  private final Map<String, SortedSet<Integer>> prioritiesByService = new HashMap<>();

  /** Ranks the priorities of all routes of a configuration. */
  public UrgencyRanks(List<Route> routes) {
    for (Route route : routes) {
      for (WeightedService target : route.services()) {
        prioritiesByService
            .computeIfAbsent(target.service(), service -> new TreeSet<>())
            .add(route.priority());
      }
    }
  }

  /** Returns whether the routes to a service have more than one priority. */
  boolean hasSeveral(String service) {
    SortedSet<Integer> priorities = prioritiesByService.get(service);
    return priorities != null && priorities.size() > 1;
  }

  /** Returns the rank of a route for one of its services: zero for the most urgent. */
  public int rankOf(Route route, String service) {
    SortedSet<Integer> priorities = prioritiesByService.get(service);
    return priorities == null ? 0 : Math.min(LOWEST, priorities.headSet(route.priority()).size());
  }
}
