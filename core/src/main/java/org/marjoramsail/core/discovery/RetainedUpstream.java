package org.marjoramsail.core.discovery;

import org.marjoramsail.core.model.UpstreamName;

/**
 * An upstream that is kept for a time although the list has no entry for it. All times are in
 * milliseconds.
 *
 * @param name the upstream
 * @param outageEndedAtMillis when the outage in which the entry may have expired ended at the
 *     earliest
 * @param untilMillis when the upstream is removed unless its entry reappears
 */
public record RetainedUpstream(UpstreamName name, long outageEndedAtMillis, long untilMillis) {}
