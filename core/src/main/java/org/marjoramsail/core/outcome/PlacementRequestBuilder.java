package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PriorCalls;

/**
 * Builds the placement request of one attempt.
 *
 * @param profile the request
 * @param placementId identifier under which the attempt is placed
 * @param attempt number of the attempt
 * @param generatedTokens number of tokens that the caller was already sent; they are prefilled
 *     again
 * @param usefulUntilMillis time until which a grant is useful, on the clock of this daemon
 * @param kv a KV cache that is still usable
 * @param priorCalls the calls of earlier attempts
 * @param requiredVersion the only software version that may continue the output; empty for any
 */
record PlacementRequestBuilder(
    RequestProfile profile,
    RequestId placementId,
    int attempt,
    int generatedTokens,
    long usefulUntilMillis,
    Optional<KvSource> kv,
    PriorCalls priorCalls,
    Optional<SoftwareVersion> requiredVersion) {

  /** Only this attempt counts towards the limit of the organisation; retries do not. */
  private static final int FIRST_ATTEMPT = 1;

  /** Returns the request with times relative to now, so that they hold on any clock. */
  PlacementRequest build(long nowMillis, List<UpstreamName> avoid, boolean alone) {
    return new PlacementRequest(
        placementId,
        attempt,
        profile.entry(),
        profile.service(),
        profile.organisation(),
        profile.rule(),
        profile.serviceClass(),
        profile.promptTokens() + generatedTokens,
        profile.generation() ? Math.max(1, profile.outputTokens() - generatedTokens) : 0,
        profile.prefixHashes(),
        nowMillis - profile.receivedAtMillis(),
        Math.max(0, profile.firstTokenAtMillis() - nowMillis),
        Math.max(0, usefulUntilMillis - nowMillis),
        avoid,
        kv.map(KvSource::holder),
        alone,
        profile.fingerprint(),
        profile.chunking(),
        attempt == FIRST_ATTEMPT ? profile.countedTokens() : 0,
        priorCalls,
        requiredVersion,
        profile.urgency());
  }
}
