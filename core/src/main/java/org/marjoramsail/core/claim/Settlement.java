package org.marjoramsail.core.claim;

/**
 * How the request of a claim ended.
 *
 * @param id the claim
 * @param keyHash hash of its key
 * @param outcome how it ended
 */
public record Settlement(ClaimId id, String keyHash, ClaimOutcome outcome) {}
