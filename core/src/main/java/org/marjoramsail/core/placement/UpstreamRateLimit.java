package org.marjoramsail.core.placement;

import java.util.Optional;

/**
 * Request rate that an upstream announces, and the credit that is left of it.
 *
 * <p>Guards against overloading an upstream that asks for fewer requests: its quick responses make
 * it look idle while the others fall behind. The limit applies to all hosts together, so the owner
 * enforces it where it grants slots. Hosts send the feedback that they received along with their
 * requests to the owner, so that an owner has it no later than it grants to that host.
 */
final class UpstreamRateLimit {

  /**
   * Lowest rate in effect: an upstream that accepts no requests still gets one occasionally, whose
   * response can end the limit.
   */
  private static final double MINIMUM_PER_SECOND = 0.25;

  /** Seconds of the rate that may accumulate; the upstream may receive them at once as a burst. */
  private static final double BURST_SECONDS = 0.5;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private Optional<Double> perSecond = Optional.empty();
  private TokenBucket tokenBucket = TokenBucket.full();
  private double fleetShare = 1;
  private long limitStatedAt = NEVER;
  private long limitEndedAt = NEVER;

  /** Returns the limit of the next incarnation of the upstream, which has announced nothing yet. */
  UpstreamRateLimit forNextIncarnation() {
    UpstreamRateLimit next = new UpstreamRateLimit();
    next.fleetShare = fleetShare;
    return next;
  }

  /** Returns the announced limit, if there is one. */
  Optional<Double> perSecond() {
    return perSecond;
  }

  /**
   * Sets the share of the daemons that the owner serves; zero if it may not grant yet. In a network
   * partition, other owners grant on the same upstream.
   */
  void fleetShare(double share) {
    fleetShare = share;
    apply();
  }

  /**
   * Applies a limit that the upstream announced in a response; outdated ones are ignored.
   *
   * @return whether there was no limit before
   */
  boolean limitReceived(double newPerSecond, long statedAt, long nowMillis) {
    if (statedAt < limitStatedAt || statedAt < limitEndedAt) {
      return false;
    }
    boolean isNew = perSecond.isEmpty();
    if (isNew) {
      tokenBucket = TokenBucket.emptyAt(nowMillis);
    }
    perSecond = Optional.of(newPerSecond);
    limitStatedAt = statedAt;
    apply();
    return isNew;
  }

  /**
   * Handles a response that announced no limit.
   *
   * @param sentAt when its request was granted, which precedes the response
   * @return whether this ended a limit
   */
  boolean limitAbsent(long sentAt, long nowMillis) {
    if (perSecond.isEmpty() || sentAt <= limitStatedAt) {
      return false;
    }
    perSecond = Optional.empty();
    limitEndedAt = nowMillis;
    return true;
  }

  /** Returns whether a request may be sent now. */
  boolean isOpen(long nowMillis) {
    return perSecond.isEmpty() || (fleetShare > 0 && tokenBucket.isOpen(nowMillis));
  }

  /** Counts a request that is granted. */
  void granted(long nowMillis) {
    if (perSecond.isPresent()) {
      tokenBucket.take(1, nowMillis);
    }
  }

  /** Returns the permitted rate in requests a millisecond. */
  double perMilli() {
    return perSecond.map(UpstreamRateLimit::effectiveRate).orElse(Double.POSITIVE_INFINITY) / 1_000;
  }

  private void apply() {
    if (fleetShare <= 0) {
      return;
    }
    perSecond.ifPresent(
        limit -> {
          double rate = effectiveRate(limit) * fleetShare;
          tokenBucket.limit(rate, Math.max(1, rate * BURST_SECONDS));
        });
  }

  private static double effectiveRate(double limit) {
    return Math.max(MINIMUM_PER_SECOND, limit);
  }
}
