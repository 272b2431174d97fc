package org.marjoramsail.daemon.request;

import org.marjoramsail.core.placement.PlacementService;

/**
 * Services that requests call.
 *
 * @param placement assigns upstreams to attempts
 * @param claims records claims on idempotency keys
 */
public record RequestDependencies(PlacementService placement, ClaimGate claims) {}
