package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;

/**
 * Names one crash, the same on all daemons.
 *
 * @param upstream which crashed
 * @param incarnation the run of it that crashed
 */
record CrashId(UpstreamName upstream, long incarnation) {}
