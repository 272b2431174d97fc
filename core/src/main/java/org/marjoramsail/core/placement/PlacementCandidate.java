package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Upstreams that can take an attempt now.
 *
 * @param prefill the prefill upstream; present when the mode transfers a KV cache
 * @param isPrefillNeeded whether the prompt still has to be prefilled
 * @param uncachedTokens tokens of the prompt that are not expected in the cache of the upstream
 *     that prefills it
 * @param transferBytes size of the KV cache when the mode transfers it
 * @param estimate what is expected of the target, where upstreams differ
 */
record PlacementCandidate(
    GrantMode mode,
    Optional<UpstreamState> prefill,
    UpstreamState target,
    boolean isPrefillNeeded,
    int uncachedTokens,
    long transferBytes,
    double prefillMillis,
    double transferMillis,
    Optional<GrantEstimate> estimate) {

  /** Creates a candidate without an estimate. */
  PlacementCandidate(
      GrantMode mode,
      Optional<UpstreamState> prefill,
      UpstreamState target,
      boolean isPrefillNeeded,
      int uncachedTokens,
      long transferBytes,
      double prefillMillis,
      double transferMillis) {
    this(
        mode,
        prefill,
        target,
        isPrefillNeeded,
        uncachedTokens,
        transferBytes,
        prefillMillis,
        transferMillis,
        Optional.empty());
  }

  PlacementCandidate withEstimate(GrantEstimate newEstimate) {
    return new PlacementCandidate(
        mode,
        prefill,
        target,
        isPrefillNeeded,
        uncachedTokens,
        transferBytes,
        prefillMillis,
        transferMillis,
        Optional.of(newEstimate));
  }

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
        Math.round(transferMillis),
        estimate);
  }
}
