package org.marjoramsail.core.claim;

/**
 * One claim as recorded in a page.
 *
 * @param keyHash hash of its key
 * @param bodyHash fingerprint of the request body
 * @param id the claim's own identifier
 * @param state what is known of the request
 * @param status the HTTP status of its answer; zero where there was none
 * @param summary a short text for a repeat
 * @param expiryMillis when it is forgotten, in the time of the segment
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
