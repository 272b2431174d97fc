package org.marjoramsail.core.outcome;

/**
 * A prompt part that is suspected or refused, as operators see it.
 *
 * @param fingerprint fingerprint of the part
 * @param id identifier of the part, as its callers name it
 * @param suspicion how requests with the part are handled
 * @param crashes number of crashes that the part may have caused
 * @param expiresInMillis time until the entry expires
 */
public record PartEntry(
    long fingerprint, String id, Suspicion suspicion, int crashes, long expiresInMillis) {}
