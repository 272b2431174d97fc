package org.marjoramsail.core.claim;

/**
 * What a daemon wants recorded before it sends a request.
 *
 * @param id names this claim
 * @param keyHash hash of its key
 * @param bodyHash fingerprint of the request body
 * @param withinMillis how long the daemon waits for a result, in milliseconds from now
 */
public record Claim(ClaimId id, String keyHash, String bodyHash, long withinMillis) {

  Claim withRemainingMillis(long millis) {
    return new Claim(id, keyHash, bodyHash, millis);
  }
}
