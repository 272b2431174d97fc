package org.marjoramsail.core.routing;

/**
 * A service that receives a share of the requests of a route.
 *
 * @param service the name of the service
 * @param weight its weight; its share is the weight divided by the sum of the weights of the route
 */
public record WeightedService(String service, int weight) {}
