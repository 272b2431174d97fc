package org.marjoramsail.core.outcome;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementRequest;

/**
 * What one attempt asks of placement.
 *
 * @param profile the request
 * @param attempt which attempt
 * @param generatedTokens what the caller has already; it is read again and not generated again
 * @param usefulUntilMillis until when a place is of use, on the clock of this daemon
 * @param kv a KV cache that still lives
 */
record PlacementRequestBuilder(
    RequestProfile profile,
    int attempt,
    int generatedTokens,
    long usefulUntilMillis,
    Optional<KvSource> kv) {

  /** The attempt that is counted against the limits of its organisation; repeats are free. */
  private static final int FIRST_ATTEMPT = 1;

  /** The request with times that hold on any clock, as seen at one moment. */
  PlacementRequest build(long nowMillis, List<UpstreamName> avoid, boolean alone) {
    return new PlacementRequest(
        profile.id(),
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
        attempt == FIRST_ATTEMPT ? profile.countedTokens() : 0);
  }
}
