package org.marjoramsail.core.outcome;

/**
 * A content in the quarantine, as operators see it.
 *
 * @param fingerprint fingerprint of the content
 * @param suspicion how requests with the content are handled
 * @param crashes number of crashes of which the content is not cleared
 * @param expiresInMillis time until the entry expires
 */
public record QuarantineEntry(
    long fingerprint, Suspicion suspicion, int crashes, long expiresInMillis) {}
