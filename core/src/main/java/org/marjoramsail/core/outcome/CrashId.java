package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;

/**
 * Identifies one crash, equally on all daemons.
 *
 * @param upstream the upstream that crashed
 * @param incarnation its incarnation that crashed
 */
record CrashId(UpstreamName upstream, long incarnation) {}
