package org.marjoramsail.core.feedback;

import java.util.Optional;

/**
 * What an upstream says of itself in the head of one answer.
 *
 * @param requestsPerSecond how many requests it takes from all hosts together; empty where it names
 *     no limit, which ends an earlier one
 * @param leaving whether it says that it leaves
 * @param pauseMillis how long it wants nothing from the host that it answers
 * @param unreadable how many of its statements mean nothing, a limit below zero for instance
 */
public record UpstreamFeedback(
    Optional<Double> requestsPerSecond,
    boolean leaving,
    Optional<Long> pauseMillis,
    int unreadable) {

  /** An answer that says nothing of its upstream. */
  public static final UpstreamFeedback NOTHING =
      new UpstreamFeedback(Optional.empty(), false, Optional.empty(), 0);
}
