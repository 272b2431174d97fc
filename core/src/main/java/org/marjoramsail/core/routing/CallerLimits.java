package org.marjoramsail.core.routing;

/**
 * What a caller may send and how long it may take.
 *
 * @param headerBytes the longest head of a request
 * @param bodyBytes the longest body of a request
 * @param headerMillis how long a head may take to come in
 * @param idleMillis how long a connection may stay without a request
 */
public record CallerLimits(int headerBytes, long bodyBytes, long headerMillis, long idleMillis) {}
