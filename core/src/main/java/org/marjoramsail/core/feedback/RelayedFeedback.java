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
 * @param load the load that the upstream stated last; empty if it is too old or was never stated
 * @param loadAgeMillis time since the host received that load; zero where there is none
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
public record RelayedFeedback(
    UpstreamName upstream,
    long startedAtMillis,
    Optional<Double> requestsPerSecond,
    boolean leaving,
    long ageMillis,
    Optional<StatedLoad> load,
    long loadAgeMillis) {

  /** Creates feedback of which a component that is missing in an encoded message is absent. */
  public RelayedFeedback {
    load = load == null ? Optional.empty() : load;
  }

  /** Creates feedback without a load. */
  public RelayedFeedback(
      UpstreamName upstream,
      long startedAtMillis,
      Optional<Double> requestsPerSecond,
      boolean leaving,
      long ageMillis) {
    this(upstream, startedAtMillis, requestsPerSecond, leaving, ageMillis, Optional.empty(), 0);
  }
}
