package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;

/**
 * A cut attempt whose upstream may have crashed, which is neither proven nor disproved.
 *
 * @param upstream the upstream
 * @param run the attempt, with what may be the cause of a crash
 */
record OpenCut(UpstreamName upstream, RunningAttempt run) {}
