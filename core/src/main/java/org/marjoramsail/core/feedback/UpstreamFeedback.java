package org.marjoramsail.core.feedback;

import java.util.Optional;

/**
 * Feedback of an upstream on itself in the head of one response.
 *
 * @param requestsPerSecond rate limit for all hosts together; empty where there is none, which ends
 *     an earlier one
 * @param leaving whether the upstream is draining
 * @param pauseMillis time for which it accepts no requests from the host that receives the response
 * @param unreadable number of invalid values, for instance a negative limit
 * @param load its load and the present speed of its machine; empty if not stated or invalid
 */
public record UpstreamFeedback(
    Optional<Double> requestsPerSecond,
    boolean leaving,
    Optional<Long> pauseMillis,
    int unreadable,
    Optional<StatedLoad> load) {

  /** Feedback of a response that has none. */
  public static final UpstreamFeedback NOTHING =
      new UpstreamFeedback(Optional.empty(), false, Optional.empty(), 0);

  /** Creates feedback that states no load. */
  public UpstreamFeedback(
      Optional<Double> requestsPerSecond,
      boolean leaving,
      Optional<Long> pauseMillis,
      int unreadable) {
    this(requestsPerSecond, leaving, pauseMillis, unreadable, Optional.empty());
  }
}
