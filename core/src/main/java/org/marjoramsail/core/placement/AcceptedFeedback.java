package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What the owner of a shard has begun to believe of an upstream after what that said of itself.
 *
 * @param upstream which
 * @param requestsPerSecond the limit that it named; empty once there is none any more
 * @param leaving whether it has said that it leaves
 * @param reportedBy the host that got the answer
 * @param ageMillis how old the answer was when the owner heard of it
 */
public record AcceptedFeedback(
    UpstreamName upstream,
    Optional<Double> requestsPerSecond,
    boolean leaving,
    DaemonId reportedBy,
    long ageMillis) {}
