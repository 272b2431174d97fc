package org.marjoramsail.core.claim;

/**
 * Outcome of a claimed request, together with its claim.
 *
 * @param id identifier of the claim
 * @param keyHash hash of the idempotency key
 * @param outcome outcome of the request
 */
public record Settlement(ClaimId id, String keyHash, ClaimOutcome outcome) {}
