package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.marjoramsail.core.admission.EarmarkedEngines;
import org.marjoramsail.core.admission.UrgentDemand;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.model.UpstreamRole;
import org.marjoramsail.core.routing.UrgencyRanks;

/**
 * Keeps capacity of decode upstreams from less urgent attempts: for urgent attempts that wait, and
 * for those that are expected to arrive.
 */
final class UrgentCapacity {

  /** Interval between two selections of the reserved upstreams. */
  private static final long REFRESH_MILLIS = 50;

  /** Factor of the time until room of an upstream that is reserved already. */
  private static final double KEPT_SHARE = 0.5;

  /**
   * Upstreams on which less urgent requests leave room for one urgent request.
   *
   * @param arrivals recent more urgent requests, whose size is the room
   */
  private record Reserve(UrgentDemand.Arrivals arrivals, Set<UpstreamName> upstreams) {
    private static final Reserve NONE = new Reserve(new UrgentDemand.Arrivals(0, 0, 0), Set.of());
  }

  private final ShardUpstreams upstreams;
  private final PlacementEstimates estimates;
  private final EarmarkedEngines earmarks = new EarmarkedEngines();
  private final UrgentDemand demand = new UrgentDemand(WaitingQueue.RANKS);
  private final Reserve[] reserves = new Reserve[WaitingQueue.RANKS];
  private long refreshReserveAt = Long.MIN_VALUE;

  UrgentCapacity(ShardUpstreams upstreams, PlacementEstimates estimates) {
    this.upstreams = upstreams;
    this.estimates = estimates;
    Arrays.fill(reserves, Reserve.NONE);
  }

  /** Returns the upstreams that are earmarked for waiting attempts. */
  Collection<EarmarkedEngines.Earmark> earmarks() {
    return earmarks.all();
  }

  /** Records the arrival of an attempt, from which the demand of its rank is learned. */
  void arrived(WaitingAttempt attempt, long nowMillis) {
    PlacementRequest request = attempt.request();
    if (isRanked(request) && request.isGeneration() && !request.isRepeat()) {
      demand.arrived(attempt.urgency(), request.promptTokens(), request.outputTokens(), nowMillis);
    }
  }

  /** Records a grant; one that uses reserved memory causes a new selection of upstreams. */
  void granted(WaitingAttempt attempt, UpstreamState target) {
    for (int urgency = attempt.urgency() + 1; urgency < WaitingQueue.RANKS; urgency++) {
      if (reserves[urgency].upstreams().contains(target.name())) {
        refreshReserveAt = Long.MIN_VALUE;
      }
    }
  }

  /** Returns whether an upstream takes no request of this urgency now. */
  boolean isClosed(UpstreamState upstream, PlacementRequest request, long nowMillis) {
    int urgency = Math.min(UrgencyRanks.LOWEST, request.urgency());
    return urgency > 0
        && isRanked(request)
        && (earmarks.isClosed(upstream.name(), urgency)
            || isReserved(upstream, request, reserves[urgency], nowMillis));
  }

  private boolean isReserved(
      UpstreamState upstream, PlacementRequest request, Reserve reserve, long nowMillis) {
    if (!reserve.upstreams().contains(upstream.name())) {
      return false;
    }
    int promptTokens = request.promptTokens() + reserve.arrivals().promptTokens();
    int outputTokens = request.outputTokens() + reserve.arrivals().outputTokens();
    return upstream.freeSlots(nowMillis) <= 1
        || !upstream.hasMemoryFor(
            promptTokens, outputTokens, nowMillis, estimates.decodeMillisPerToken());
  }

  private static boolean isRanked(PlacementRequest request) {
    return request.serviceClass() == ServiceClass.TIMELY && request.requiredVersion().isEmpty();
  }

  /** Chooses the upstreams that are reserved from each rank, at most once in an interval. */
  void refreshReserve(long nowMillis) {
    if (nowMillis < refreshReserveAt) {
      return;
    }
    refreshReserveAt = nowMillis + REFRESH_MILLIS;
    for (int urgency = 1; urgency < WaitingQueue.RANKS; urgency++) {
      if (!demand.isAnyFrom(urgency, nowMillis)) {
        reserves[urgency] = Reserve.NONE;
        continue;
      }
      UrgentDemand.Arrivals arrivals = demand.moreUrgentThan(urgency, nowMillis);
      Reserve ofMoreUrgent = reserves[urgency - 1];
      boolean isSameDemand = arrivals.equals(ofMoreUrgent.arrivals());
      reserves[urgency] = isSameDemand ? ofMoreUrgent : reserve(urgency, arrivals, nowMillis);
    }
  }

  /** Chooses upstreams; those that are earmarked for more urgent requests count as reserved. */
  private Reserve reserve(int urgency, UrgentDemand.Arrivals arrivals, long nowMillis) {
    double drainMillis = estimates.holdMillis() / slotsFor(arrivals.memoryTokens(), nowMillis);
    int wanted =
        UrgentDemand.enginesToReserve(arrivals, drainMillis, usableDecodeUpstreams(nowMillis));
    int count = wanted - earmarks.countMoreUrgentThan(urgency);
    if (count <= 0) {
      return new Reserve(arrivals, Set.of());
    }
    Set<UpstreamName> chosen =
        candidates(arrivals.promptTokens(), arrivals.outputTokens(), nowMillis).stream()
            .filter(one -> !Double.isInfinite(one.millisUntilRoom()))
            .filter(one -> !earmarks.isClosed(one.engine(), urgency))
            .sorted(Comparator.comparingDouble(one -> reserveOrder(one, reserves[urgency])))
            .limit(count)
            .map(EarmarkedEngines.Candidate::engine)
            .collect(Collectors.toSet());
    return new Reserve(arrivals, chosen);
  }

  /**
   * Returns the sort key by which upstreams are reserved. One that is reserved already is kept
   * until another is expected to have room much sooner; otherwise the room that it has gained is
   * lost.
   */
  private static double reserveOrder(EarmarkedEngines.Candidate candidate, Reserve previous) {
    boolean isReserved = previous.upstreams().contains(candidate.engine());
    return candidate.millisUntilRoom() * (isReserved ? KEPT_SHARE : 1);
  }

  /** Returns the number of requests of a size that fit on the largest usable upstream. */
  private int slotsFor(int tokens, long nowMillis) {
    int most = 1;
    for (UpstreamState upstream : upstreams.all()) {
      boolean isTarget = upstream.role() == UpstreamRole.DECODE && upstream.isUsable(nowMillis);
      most = isTarget ? Math.max(most, upstream.slotsFor(tokens)) : most;
    }
    return most;
  }

  /**
   * Releases the upstreams that are earmarked for attempts that no longer wait for them.
   *
   * @param waiting returns the waiting attempt of a request
   */
  void releaseUnused(Function<RequestId, Optional<WaitingAttempt>> waiting, long nowMillis) {
    if (earmarks.all().isEmpty()) {
      return;
    }
    for (EarmarkedEngines.Earmark earmark : List.copyOf(earmarks.all())) {
      boolean isUsable =
          upstreams.find(earmark.engine()).filter(it -> it.isUsable(nowMillis)).isPresent();
      boolean isAwaited =
          waiting
              .apply(earmark.request())
              .filter(attempt -> !attempt.isLate())
              .filter(attempt -> attempt.organisation().missing(nowMillis).isEmpty())
              .isPresent();
      if (!isUsable || !isAwaited) {
        earmarks.release(earmark.request());
      }
    }
  }

  /**
   * Earmarks upstreams for attempts of a lane whose first attempt fits no upstream: for this one
   * and, up to the maximum number, for others that are at least as large.
   */
  void earmarkFor(WaitingQueue.Lane lane, long nowMillis) {
    int maximum = EarmarkedEngines.maximumOfRank(usableDecodeUpstreams(nowMillis));
    int leastTokens = 0;
    for (WaitingAttempt attempt : lane.first(maximum, nowMillis)) {
      PlacementRequest request = attempt.request();
      if (request.memoryTokens() >= leastTokens && !attempt.isRestricted()) {
        leastTokens = request.memoryTokens();
        earmarks.earmark(
            request.request(),
            attempt.urgency(),
            maximum,
            () -> candidates(request.promptTokens(), request.outputTokens(), nowMillis));
      }
    }
  }

  private Collection<EarmarkedEngines.Candidate> candidates(
      int promptTokens, int outputTokens, long nowMillis) {
    List<EarmarkedEngines.Candidate> candidates = new ArrayList<>();
    for (UpstreamState upstream : upstreams.all()) {
      if (upstream.role() == UpstreamRole.DECODE
          && upstream.isUsable(nowMillis)
          && !upstreams.isUnresponsive(upstream, nowMillis)) {
        double millis =
            upstream.millisUntilRoomFor(
                promptTokens, outputTokens, nowMillis, estimates.decodeMillisPerToken());
        candidates.add(new EarmarkedEngines.Candidate(upstream.name(), millis));
      }
    }
    return candidates;
  }

  private int usableDecodeUpstreams(long nowMillis) {
    int usable = 0;
    for (UpstreamState upstream : upstreams.all()) {
      usable += upstream.role() == UpstreamRole.DECODE && upstream.isUsable(nowMillis) ? 1 : 0;
    }
    return usable;
  }
}
