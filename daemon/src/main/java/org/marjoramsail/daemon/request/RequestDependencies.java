package org.marjoramsail.daemon.request;

import org.marjoramsail.core.placement.PlacementService;

/**
 * Whom requests need.
 *
 * @param placement grants upstreams
 * @param claims records claims
 */
public record RequestDependencies(PlacementService placement, ClaimGate claims) {}
