package org.marjoramsail.core.claim;

/**
 * A page as stored in the object API.
 *
 * @param version version of the object, which a conditional update has to state
 * @param page content of the page
 */
public record VersionedPage(String version, ClaimPage page) {}
