package org.marjoramsail.daemon.claim;

import org.marjoramsail.core.claim.ClaimKey;

/**
 * Claim of a request, which must be granted before the request is sent to an upstream.
 *
 * @param key key under which the request runs at most once
 * @param bodyHash fingerprint of the request body, from {@link ClaimKey#bodyHash(byte[])}
 * @param withinMillis maximum time to wait for the result, in milliseconds
 */
public record ClaimRequest(ClaimKey key, String bodyHash, long withinMillis) {}
