package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;

/** What the owner of a shard is told of the upstreams' own words, and what it believes since. */
final class OwnerFeedback {

  private final ShardUpstreams upstreams;
  private final List<AcceptedFeedback> accepted = new ArrayList<>(0);

  OwnerFeedback(ShardUpstreams upstreams) {
    this.upstreams = upstreams;
  }

  /** Handles what an upstream said of itself to a host. */
  void acceptFeedback(RelayedFeedback feedback, DaemonId from, long nowMillis) {
    upstreams
        .find(feedback.upstream())
        .filter(upstream -> upstream.acceptFeedback(feedback, nowMillis))
        .ifPresent(upstream -> recordAccepted(upstream, from, feedback.ageMillis()));
  }

  /**
   * Handles the report of an attempt, after what its host told with it.
   *
   * <p>A host tells with each report what upstreams said to it last; one of which it tells no limit
   * has named none in its answer.
   */
  void attemptReported(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    if (attempt.phase() == AttemptPhase.PREFILLING && report.phase() == AttemptPhase.PREFILLED) {
      attempt.prefill().ifPresent(prefill -> clearLimit(prefill, attempt, nowMillis));
    }
    if (report.result().filter(result -> result == AttemptResult.COMPLETED).isPresent()) {
      attempt.target().ifPresent(target -> clearLimit(target, attempt, nowMillis));
    }
  }

  /** What has come to be believed since this was last asked. */
  List<AcceptedFeedback> takeAccepted() {
    List<AcceptedFeedback> taken = List.copyOf(accepted);
    accepted.clear();
    return taken;
  }

  private void clearLimit(UpstreamState upstream, RunningAttempt attempt, long nowMillis) {
    if (upstream.limit().limitAbsent(attempt.startedAt(), nowMillis)) {
      recordAccepted(upstream, attempt.request().entry(), 0);
    }
  }

  private void recordAccepted(UpstreamState upstream, DaemonId from, long ageMillis) {
    accepted.add(
        new AcceptedFeedback(
            upstream.name(),
            upstream.limit().perSecond(),
            upstream.isAnnouncedLeaving(),
            from,
            ageMillis));
  }
}
