package org.marjoramsail.core.feedback;

import com.fasterxml.jackson.annotation.JsonFormat;
import java.util.Optional;
import org.marjoramsail.core.model.UpstreamName;

/**
 * What an upstream said of itself to one host, as that host tells it to another.
 *
 * @param upstream who said it
 * @param startedAtMillis in which of its lives, as in {@link
 *     org.marjoramsail.core.model.Incarnation}
 * @param requestsPerSecond how many requests it takes from all hosts together, where it named that
 * @param leaving whether it said that it leaves
 * @param ageMillis how long ago the host heard of its limit last; zero where there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RelayedFeedback(
    UpstreamName upstream,
    long startedAtMillis,
    Optional<Double> requestsPerSecond,
    boolean leaving,
    long ageMillis) {}
