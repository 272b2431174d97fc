package org.marjoramsail.core.outcome;

/**
 * One content that the quarantine remembers, for operators.
 *
 * @param fingerprint names the content
 * @param suspicion what follows from it
 * @param crashes how many crashes are counted against it
 * @param expiresInMillis when it is forgotten
 */
public record QuarantineEntry(
    long fingerprint, Suspicion suspicion, int crashes, long expiresInMillis) {}
