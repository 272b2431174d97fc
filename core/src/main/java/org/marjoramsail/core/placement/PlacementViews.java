package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

/** Creates the operators' view of one shard. */
final class PlacementViews {

  private PlacementViews() {}

  static ShardView view(
      ShardId shard,
      ShardUpstreams upstreams,
      SlotReservations reservations,
      List<WaitingAttempt> inOrder,
      OrganisationTable organisations,
      WaitEstimator waits,
      double millisPerToken,
      long nowMillis) {
    List<ShardView.WaitingView> waiting = new ArrayList<>();
    for (WaitingAttempt attempt : inOrder) {
      waiting.add(waitingView(attempt, waiting.size() + 1, waits, nowMillis));
    }
    return new ShardView(
        shard,
        upstreams(upstreams, millisPerToken, nowMillis),
        reservations.all().stream()
            .sorted(Comparator.comparingLong(RunningAttempt::startedAt))
            .map(attempt -> runningView(attempt, nowMillis))
            .toList(),
        waiting,
        organisations.all().stream().map(it -> it.view(nowMillis)).toList());
  }

  /** Returns waiting attempts in the order in which they will be served. */
  static List<WaitingAttempt> inOrder(Collection<WaitingAttempt> waiting) {
    return waiting.stream()
        .sorted(
            Comparator.comparingInt(WaitingAttempt::lane)
                .thenComparingDouble(it -> it.organisation().lane(it.lane()).startTag())
                .thenComparing(WaitingQueue.BY_ORDER))
        .toList();
  }

  /**
   * Returns the views of the upstreams.
   *
   * @param millisPerToken generation time of one token, for the forecast of their memory
   */
  static List<ShardView.UpstreamView> upstreams(
      ShardUpstreams upstreams, double millisPerToken, long nowMillis) {
    return upstreams.all().stream()
        .map(upstream -> upstreamView(upstream, upstreams, millisPerToken, nowMillis))
        .toList();
  }

  private static ShardView.UpstreamView upstreamView(
      UpstreamState upstream, ShardUpstreams upstreams, double millisPerToken, long nowMillis) {
    return new ShardView.UpstreamView(
        upstream.name(),
        upstream.role(),
        upstream.availabilityZone(),
        upstream.slots(),
        upstream.reserved(),
        upstream.reportedRunning(),
        upstream.isUsable(nowMillis),
        upstream.stateCode(nowMillis),
        upstream.prefixes().size(),
        upstreams.speeds(upstream.role(), nowMillis).relativeSpeed(upstream.speed()),
        (int) Math.round(100 * upstream.momentaryLoad().slowdown(nowMillis)),
        Math.round(upstream.outstandingMillis()),
        upstream.memoryTokens().orElse(0),
        (int) upstream.memory().plannedTokens(nowMillis, millisPerToken));
  }

  private static ShardView.RunningView runningView(RunningAttempt attempt, long nowMillis) {
    return new ShardView.RunningView(
        attempt.request().request(),
        attempt.request().attempt(),
        attempt.request().organisation(),
        attempt.request().entry(),
        attempt.phase(),
        attempt.grant().prefill(),
        attempt.grant().target(),
        nowMillis - attempt.startedAt(),
        attempt.request().memoryTokens());
  }

  private static ShardView.WaitingView waitingView(
      WaitingAttempt attempt, int place, WaitEstimator waits, long nowMillis) {
    PlacementRequest request = attempt.request();
    return new ShardView.WaitingView(
        request.request(),
        request.organisation(),
        request.entry(),
        request.rule(),
        request.serviceClass(),
        place,
        nowMillis - attempt.arrivedAt(),
        attempt.missing().code(),
        Math.round(waits.waitMillis(attempt, nowMillis)),
        request.memoryTokens());
  }
}
