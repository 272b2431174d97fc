package org.marjoramsail.core.routing;

/**
 * A service that gets a share of a route's requests.
 *
 * @param service its name
 * @param weight its share, against the sum of the weights of the route
 */
public record WeightedService(String service, int weight) {}
