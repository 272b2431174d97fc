package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams that can take an attempt now.
 *
 * @param prefill present when the mode transfers
 * @param isPrefillNeeded whether the prompt has still to be read
 * @param uncachedTokens tokens of the prompt that are not expected in the reader's cache
 * @param transferBytes size of its KV cache when the mode transfers
 */
record PlacementCandidate(
    GrantMode mode,
    Optional<UpstreamState> prefill,
    UpstreamState target,
    boolean isPrefillNeeded,
    int uncachedTokens,
    long transferBytes,
    double prefillMillis,
    double transferMillis) {

  Grant toGrant(PlacementRequest request) {
    Optional<UpstreamName> prefillName = prefill.map(UpstreamState::name);
    long expectedPrefill = isPrefillNeeded ? Math.max(1, Math.round(prefillMillis)) : 0;
    return new Grant(
        request.request(),
        request.attempt(),
        mode,
        prefillName,
        target.name(),
        expectedPrefill,
        Math.round(transferMillis));
  }
}
