package org.marjoramsail.core.routing;

/**
 * Limits on the size and duration of a request and on idle connections.
 *
 * @param headerBytes maximum size of the request line and headers
 * @param bodyBytes maximum size of the request body
 * @param headerMillis time limit for receiving the request line and headers
 * @param idleMillis how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {}
