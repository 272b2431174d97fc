package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamRole;

/** Refuses attempts that cannot be served, before they are queued. */
final class ArrivalCheck {

  private static final long MINIMUM_RETRY_MILLIS = 1_000;

  /**
   * Time in which a new owner receives the list of upstreams from the store or another daemon.
   * Until then, requests wait rather than being refused as if no upstream were left.
   */
  private static final long POOL_UNKNOWN_MILLIS = 2_000;

  private final ShardId shard;
  private final ShardUpstreams upstreams;
  private final PlacementSettings settings;
  private final long poolKnownAt;

  /**
   * Creates a check.
   *
   * @param nowMillis time at which this owner was created
   */
  ArrivalCheck(
      ShardId shard, ShardUpstreams upstreams, PlacementSettings settings, long nowMillis) {
    this.shard = shard;
    this.upstreams = upstreams;
    this.settings = settings;
    this.poolKnownAt = nowMillis + POOL_UNKNOWN_MILLIS;
  }

  /**
   * Returns the refusal of an attempt that has just arrived; empty if it may wait.
   *
   * @param waiting number of attempts that wait
   * @param leastMillis minimum time on idle upstreams until its target
   * @param isIdle whether no attempt waits or runs
   */
  Optional<Refusal> refusal(
      PlacementRequest request, int waiting, double leastMillis, boolean isIdle, long nowMillis) {
    int limit = settings.maximumWaiting();
    int allowed =
        limit - limit * request.serviceClass().rank() / (2 * ServiceClass.values().length);
    if (waiting >= allowed) {
      String detail = "The queue of " + shard + " holds " + waiting + " of " + allowed + ".";
      return Optional.of(Refusal.notRun(RefusalReason.QUEUE_FULL, detail, MINIMUM_RETRY_MILLIS));
    }
    if (isPoolUnknown(nowMillis) && request.requiredVersion().isEmpty()) {
      return Optional.empty();
    }
    Optional<Refusal> withoutUpstream = withoutUpstream(request);
    if (withoutUpstream.isPresent()) {
      return withoutUpstream;
    }
    if (request.isGeneration() && !upstreams.canHold(request)) {
      String detail =
          "The request needs the memory of "
              + request.promptTokens()
              + " prompt tokens and its output; an engine of "
              + shard
              + " has "
              + upstreams.largestMemoryTokens()
              + ".";
      return Optional.of(Refusal.notRun(RefusalReason.PROMPT_TOO_LARGE, detail));
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

  /** Returns whether this owner has been created so recently that it may not know its upstreams. */
  private boolean isPoolUnknown(long nowMillis) {
    return upstreams.all().isEmpty() && nowMillis < poolKnownAt;
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
