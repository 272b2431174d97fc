package org.marjoramsail.core.claim;

/**
 * One claim as recorded in a page.
 *
 * @param keyHash hash of the idempotency key
 * @param bodyHash fingerprint of the request body
 * @param id identifier of the claim
 * @param state recorded state of the request
 * @param status HTTP status of the response; zero if there was none
 * @param summary short text returned to a repeated request
 * @param expiryMillis when the entry expires, in segment time
 */
public record ClaimEntry(
    String keyHash,
    String bodyHash,
    ClaimId id,
    ClaimState state,
    int status,
    String summary,
    long expiryMillis) {

  ClaimEntry settled(ClaimOutcome outcome) {
    return new ClaimEntry(
        keyHash, bodyHash, id, outcome.state(), outcome.status(), outcome.summary(), expiryMillis);
  }

  boolean isExpired(long segmentMillis) {
    return segmentMillis >= expiryMillis;
  }
}
