package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Change that the owner of a shard has accepted from an upstream's feedback.
 *
 * @param upstream upstream that gave the feedback
 * @param requestsPerSecond rate limit in effect; empty if there is none
 * @param leaving whether the upstream has announced that it is draining
 * @param reportedBy host that received the response with the feedback
 * @param ageMillis age of the response when the owner received the feedback
 */
public record AcceptedFeedback(
    UpstreamName upstream,
    Optional<Double> requestsPerSecond,
    boolean leaving,
    DaemonId reportedBy,
    long ageMillis) {}
