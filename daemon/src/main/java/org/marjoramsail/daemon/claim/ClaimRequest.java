package org.marjoramsail.daemon.claim;

import org.marjoramsail.core.claim.ClaimKey;

/**
 * A request that must be claimed before it is sent.
 *
 * @param key what may run at most once
 * @param bodyHash fingerprint of its body, from {@link ClaimKey#bodyHash(byte[])}
 * @param withinMillis how long its caller can wait for the claim, in milliseconds
 */
public record ClaimRequest(ClaimKey key, String bodyHash, long withinMillis) {}
