package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.cost.SpeedComparison;
import org.marjoramsail.core.model.UpstreamRole;

/**
 * Expected time from a grant to the completion of a request on each upstream, for upstreams that
 * differ in speed, slowdown or failures.
 */
final class ExpectedCompletion {

  /**
   * Share by which a fully used decode upstream is expected to generate more slowly than an idle
   * one; spreads streams over upstreams that are almost equally fast.
   */
  private static final double FULL_DECODE_SLOWDOWN = 0.25;

  /** Utilisation up to which the availability zone of the entry is preferred. */
  private static final double ZONE_PREFERENCE_LIMIT = 0.75;

  /**
   * Price of a plain upstream in another availability zone, in units of the cost of the request.
   * Bytes between zones can be dear, so a small gain does not justify them.
   */
  private static final double OTHER_ZONE_COSTS = 1;

  /**
   * Price of a certain failure, in units of the cost of the request: it costs another attempt, or
   * the whole request if it may not be sent twice.
   */
  private static final double FAILURE_COSTS = 20;

  /** Bounds the scores by which ties are broken, in milliseconds. */
  private static final double TIE_MILLIS = 0.01;

  private final ShardUpstreams upstreams;
  private final PlacementEstimates estimates;

  ExpectedCompletion(ShardUpstreams upstreams, PlacementEstimates estimates) {
    this.upstreams = upstreams;
    this.estimates = estimates;
  }

  /** Returns whether the upstreams of a role differ enough for the selection to consider it. */
  boolean differs(UpstreamRole role, long nowMillis) {
    return upstreams.differ(role, nowMillis);
  }

  /** Returns the generation time of a token on a decode upstream, in milliseconds. */
  double decodeMillisPerToken(UpstreamState upstream, long nowMillis) {
    SpeedComparison speeds = upstreams.speeds(UpstreamRole.DECODE, nowMillis);
    return speeds.differs()
        ? upstream.speed().millisPerUnit(speeds.meanMillisPerUnit())
        : estimates.decodeMillisPerToken();
  }

  /**
   * Returns the expected time to the response of a plain upstream: the outstanding work over its
   * slots, and the work itself.
   */
  double plainMillis(
      PlacementRequest request, UpstreamState upstream, Optional<String> zone, long nowMillis) {
    double cost = estimates.costMillis(request);
    double others = upstream.momentaryLoad().otherRequests(nowMillis) * estimates.plainMillis();
    double ahead = (upstream.outstandingMillis() + others) / Math.max(1, upstream.slots());
    double millis =
        usualAndDelay(
                (ahead + cost) * upstreams.timeFactor(upstream, nowMillis), upstream, nowMillis)
            + FAILURE_COSTS * cost * upstreams.excessFailures(upstream, nowMillis);
    boolean isPreferredZone =
        zone.isPresent()
            && zone.get().equals(upstream.availabilityZone())
            && upstream.utilisation(nowMillis) < ZONE_PREFERENCE_LIMIT;
    return millis + (isPreferredZone ? 0 : OTHER_ZONE_COSTS * cost) + tieBreak(request, upstream);
  }

  /** Returns the expected time of the output of a decode upstream. */
  double generationMillis(PlacementRequest request, UpstreamState upstream, long nowMillis) {
    double alone = estimates.costMillis(request) * upstreams.timeFactor(upstream, nowMillis);
    double utilised = alone * (1 + FULL_DECODE_SLOWDOWN * upstream.utilisation(nowMillis));
    return usualAndDelay(utilised, upstream, nowMillis) + tieBreak(request, upstream);
  }

  /** Returns the delay of a prefill and its queue by a momentary slowdown. */
  double prefillDelayMillis(double usualMillis, UpstreamState upstream, long nowMillis) {
    return upstream.momentaryLoad().delayMillis(usualMillis, nowMillis);
  }

  private static double usualAndDelay(double usualMillis, UpstreamState upstream, long nowMillis) {
    return usualMillis + upstream.momentaryLoad().delayMillis(usualMillis, nowMillis);
  }

  /** Returns a small time by which different requests prefer different ones of equal upstreams. */
  private static double tieBreak(PlacementRequest request, UpstreamState upstream) {
    int mixed = (request.request().hashCode() * 31 + upstream.name().hashCode()) * 0x9E3779B9;
    return (mixed >>> 16) * TIE_MILLIS / (1 << 16);
  }
}
