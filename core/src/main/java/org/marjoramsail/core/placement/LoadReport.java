package org.marjoramsail.core.placement;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Load that an upstream reports of itself; a report is delayed by its age and its transport.
 *
 * @param upstream the reporting upstream
 * @param incarnation a number that rises with each start of the upstream
 * @param role the present role
 * @param slots the maximum number of concurrent requests
 * @param running the number of running requests
 * @param waiting the number of accepted requests that have not started
 * @param queuedPrefillTokens prompt tokens that are accepted and not prefilled
 * @param leaving whether the upstream reports that it takes no new work
 * @param ageMillis the age of the report when it was received
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
