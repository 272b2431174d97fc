package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamRole;

/** Refuses attempts that cannot be served, before they are queued. */
final class ArrivalCheck {

  private static final long MINIMUM_RETRY_MILLIS = 1_000;

  private final ShardId shard;
  private final ShardUpstreams upstreams;
  private final PlacementSettings settings;

  ArrivalCheck(ShardId shard, ShardUpstreams upstreams, PlacementSettings settings) {
    this.shard = shard;
    this.upstreams = upstreams;
    this.settings = settings;
  }

  /**
   * Returns the refusal of an attempt that has just arrived; empty if it may wait.
   *
   * @param waiting number of attempts that wait
   * @param leastMillis minimum time on idle upstreams until its target
   * @param isIdle whether no attempt waits or runs
   */
  Optional<Refusal> refusal(
      PlacementRequest request, int waiting, double leastMillis, boolean isIdle) {
    int limit = settings.maximumWaiting();
    int allowed =
        limit - limit * request.serviceClass().rank() / (2 * ServiceClass.values().length);
    if (waiting >= allowed) {
      String detail = "The queue of " + shard + " holds " + waiting + " of " + allowed + ".";
      return Optional.of(Refusal.notRun(RefusalReason.QUEUE_FULL, detail, MINIMUM_RETRY_MILLIS));
    }
    Optional<Refusal> withoutUpstream = withoutUpstream(request);
    if (withoutUpstream.isPresent()) {
      return withoutUpstream;
    }
    // An idle shard tries a request even if it expects it to be late: otherwise wrong estimates
    // would refuse every request and never be corrected.
    if (WaitingAttempt.usefulWithinMillis(request) < leastMillis && !isIdle) {
      String detail =
          "The request needs "
              + Math.round(leastMillis)
              + " ms to meet its latency target and has "
              + WaitingAttempt.usefulWithinMillis(request)
              + " ms left.";
      return Optional.of(Refusal.notRun(RefusalReason.DEADLINE_UNREACHABLE, detail));
    }
    return Optional.empty();
  }

  /** Returns the refusal of an attempt that no upstream may serve; empty if one may. */
  Optional<Refusal> withoutUpstream(PlacementRequest request) {
    UpstreamRole role = request.isGeneration() ? UpstreamRole.DECODE : UpstreamRole.PLAIN;
    boolean isAnyCandidate =
        upstreams.all().stream()
            .anyMatch(
                upstream ->
                    upstream.isConfigured()
                        && !upstream.isAnnouncedLeaving()
                        && upstream.role() == role
                        && mayContinue(upstream, request)
                        && !request.avoid().contains(upstream.name()));
    return isAnyCandidate
        ? Optional.empty()
        : Optional.of(
            request.refusalWithoutUpstream(shard.toString(), upstreams.hasConfigured(role)));
  }

  /** Returns whether an upstream of the required version, if there is one, takes new work. */
  private static boolean mayContinue(UpstreamState upstream, PlacementRequest request) {
    return request.requiredVersion().isEmpty()
        || (upstream.mayContinue(request.requiredVersion()) && !upstream.isLeaving());
  }
}
