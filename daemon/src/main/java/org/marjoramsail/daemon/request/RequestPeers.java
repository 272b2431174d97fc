package org.marjoramsail.daemon.request;

import org.marjoramsail.core.placement.PlacementService;

/**
 * Whom requests need.
 *
 * @param placement grants upstreams
 * @param claims records claims
 */
public record RequestPeers(PlacementService placement, ClaimGate claims) {}
