package org.marjoramsail.core.claim;

/**
 * A request of a daemon to record that it is about to send a request with an idempotency key.
 *
 * @param id identifier of this claim
 * @param keyHash hash of the idempotency key
 * @param bodyHash fingerprint of the request body
 * @param withinMillis how long the daemon waits for a result, in milliseconds from now
 */
public record Claim(ClaimId id, String keyHash, String bodyHash, long withinMillis) {

  Claim withRemainingMillis(long millis) {
    return new Claim(id, keyHash, bodyHash, millis);
  }
}
