package org.marjoramsail.core.feedback;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * Feedback that an upstream sent to one host, as that host relays it to another.
 *
 * @param upstream the upstream
 * @param startedAtMillis start time of its incarnation, as in {@link
 *     org.marjoramsail.core.model.Incarnation}
 * @param requestsPerSecond its rate limit for all hosts together, if any
 * @param leaving whether it reported that it is draining
 * @param ageMillis time since the host last received the rate limit; zero where there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RelayedFeedback(
    UpstreamName upstream,
    long startedAtMillis,
    Optional<Double> requestsPerSecond,
    boolean leaving,
    long ageMillis) {}
