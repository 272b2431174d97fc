package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;

/**
 * Applies feedback of upstreams that hosts relay to the owner of a shard, and collects accepted
 * changes.
 */
final class OwnerFeedback {

  private final ShardUpstreams upstreams;
  private final List<AcceptedFeedback> accepted = new ArrayList<>(0);

  OwnerFeedback(ShardUpstreams upstreams) {
    this.upstreams = upstreams;
  }

  /** Applies feedback that an upstream gave to a host. */
  void acceptFeedback(RelayedFeedback feedback, DaemonId from, long nowMillis) {
    upstreams.acceptLoad(feedback, nowMillis);
    upstreams
        .find(feedback.upstream())
        .filter(upstream -> upstream.acceptFeedback(feedback, nowMillis))
        .ifPresent(upstream -> recordAccepted(upstream, from, feedback.ageMillis()));
  }

  /**
   * Handles the report of an attempt, after the feedback that its host relayed with it.
   *
   * <p>A host relays the latest feedback of upstreams with each report. If a host relays no rate
   * limit of an upstream, the upstream's last response stated none, and its limit ends.
   */
  void attemptReported(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    if (attempt.phase() == AttemptPhase.PREFILLING && report.phase() == AttemptPhase.PREFILLED) {
      attempt.prefill().ifPresent(prefill -> clearLimit(prefill, attempt, nowMillis));
    }
    if (report.result().filter(result -> result == AttemptResult.COMPLETED).isPresent()) {
      attempt.target().ifPresent(target -> clearLimit(target, attempt, nowMillis));
    }
  }

  /** Returns and clears the feedback accepted since the last call. */
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
