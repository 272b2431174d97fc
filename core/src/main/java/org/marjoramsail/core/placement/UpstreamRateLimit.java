package org.marjoramsail.core.placement;

import java.util.Optional;

/**
 * How many requests a second an upstream takes, as it said itself, and how many it may get now.
 *
 * <p>Guards against an upstream in need that is sent more than it can take: it answers quickly what
 * it answers, so that it looks idle, and falls behind with the rest. The limit is over all hosts,
 * so it holds where places are granted; hosts tell what they heard with whatever they ask of the
 * owner, so that each owner knows it no later than it grants to a host that does.
 */
final class UpstreamRateLimit {

  /**
   * An upstream that wants nothing at all gets a request now and then, else nobody would learn that
   * its need is over.
   */
  private static final double MINIMUM_PER_SECOND = 0.25;

  /** How long the rate may be saved up, in seconds: more would come at once as a burst. */
  private static final double BURST_SECONDS = 0.5;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private Optional<Double> perSecond = Optional.empty();
  private TokenBucket tokenBucket = TokenBucket.full();
  private double fleetShare = 1;
  private long limitStatedAt = NEVER;
  private long limitEndedAt = NEVER;

  /** The one of the next life of the upstream, which has said nothing yet. */
  UpstreamRateLimit forNextIncarnation() {
    UpstreamRateLimit next = new UpstreamRateLimit();
    next.fleetShare = fleetShare;
    return next;
  }

  /** The limit, if there is one. */
  Optional<Double> perSecond() {
    return perSecond;
  }

  /** Sets which part of the daemons its owner sees: beyond a cut others grant for it as well. */
  void fleetShare(double share) {
    fleetShare = share;
    apply();
  }

  /**
   * Handles a limit that the upstream named in an answer; what is older than what is known is
   * dropped.
   *
   * @return whether there was none before
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
   * Handles an answer that named no limit.
   *
   * @param sentAt when its request was granted, which the answer cannot precede
   * @return whether that ends one
   */
  boolean limitAbsent(long sentAt, long nowMillis) {
    if (perSecond.isEmpty() || sentAt <= limitStatedAt) {
      return false;
    }
    perSecond = Optional.empty();
    limitEndedAt = nowMillis;
    return true;
  }

  /** Whether a request may be sent now. */
  boolean isOpen(long nowMillis) {
    return perSecond.isEmpty() || tokenBucket.isOpen(nowMillis);
  }

  /** Counts a request that is granted. */
  void granted(long nowMillis) {
    if (perSecond.isPresent()) {
      tokenBucket.take(1, nowMillis);
    }
  }

  /** How many requests a millisecond it lets through. */
  double perMilli() {
    return perSecond.map(UpstreamRateLimit::effectiveRate).orElse(Double.POSITIVE_INFINITY) / 1_000;
  }

  private void apply() {
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
