package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * What an upstream says of its load; it is late by its age and more.
 *
 * @param upstream who says it
 * @param incarnation rises each time that the upstream starts
 * @param role the role that it has now
 * @param slots how many requests it holds at most
 * @param running how many it holds
 * @param waiting how many it has accepted and not begun
 * @param queuedPrefillTokens prompt tokens that it has accepted and not read
 * @param leaving whether it says that it takes no new work
 * @param ageMillis how old the report was when it was given
 */
public record LoadReport(
    UpstreamName upstream,
    long incarnation,
    UpstreamRole role,
    int slots,
    int running,
    int waiting,
    int queuedPrefillTokens,
    boolean leaving,
    long ageMillis) {}
