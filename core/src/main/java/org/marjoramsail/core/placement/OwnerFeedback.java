package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.marjoramsail.core.feedback.RelayedFeedback;
import org.marjoramsail.core.model.DaemonId;

/** What the owner of a shard is told of the upstreams' own words, and what it believes since. */
final class OwnerFeedback {

  private final ShardUpstreams upstreams;
  private final List<AcceptedFeedback> beliefs = new ArrayList<>(0);

  OwnerFeedback(ShardUpstreams upstreams) {
    this.upstreams = upstreams;
  }

  /** Handles what an upstream said of itself to a host. */
  void acceptFeedback(RelayedFeedback condition, DaemonId from, long nowMillis) {
    upstreams
        .find(condition.upstream())
        .filter(upstream -> upstream.acceptFeedback(condition, nowMillis))
        .ifPresent(upstream -> believe(upstream, from, condition.ageMillis()));
  }

  /**
   * Handles the report of an attempt, after what its host told with it.
   *
   * <p>A host tells with each report what upstreams said to it last; one of which it tells no limit
   * has named none in its answer.
   */
  void reported(RunningAttempt attempt, AttemptReport report, long nowMillis) {
    if (attempt.phase() == AttemptPhase.PREFILLING && report.phase() == AttemptPhase.PREFILLED) {
      attempt.prefill().ifPresent(reader -> endLimit(reader, attempt, nowMillis));
    }
    if (report.result().filter(result -> result == AttemptResult.COMPLETED).isPresent()) {
      attempt.target().ifPresent(target -> endLimit(target, attempt, nowMillis));
    }
  }

  /** What has come to be believed since this was last asked. */
  List<AcceptedFeedback> take() {
    List<AcceptedFeedback> taken = List.copyOf(beliefs);
    beliefs.clear();
    return taken;
  }

  private void endLimit(UpstreamState upstream, RunningAttempt attempt, long nowMillis) {
    if (upstream.limit().limitAbsent(attempt.startedAt(), nowMillis)) {
      believe(upstream, attempt.request().entry(), 0);
    }
  }

  private void believe(UpstreamState upstream, DaemonId from, long ageMillis) {
    beliefs.add(
        new AcceptedFeedback(
            upstream.name(),
            upstream.limit().perSecond(),
            upstream.isAnnouncedLeaving(),
            from,
            ageMillis));
  }
}
