package org.marjoramsail.core.claim;

/**
 * A page as the object API holds it.
 *
 * @param version the version that a conditional update names
 * @param page its content
 */
public record VersionedPage(String version, ClaimPage page) {}
