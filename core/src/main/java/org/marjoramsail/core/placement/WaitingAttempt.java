package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

/** One attempt in the queue of a shard. */
final class WaitingAttempt {

  private final PlacementRequest request;
  private final OrganisationState organisation;
  private final long sequence;
  private final long arrivedAt;
  private final long targetAt;
  private final long expiresAt;
  private final long kvUntil;

  private ServiceClass lane;
  private long promoteAt;
  private MissingResource missing = MissingResource.DECODE_SLOT;

  /**
   * Computes the times on the owner's clock.
   *
   * @param leastServiceMillis the least time from its start to its target
   */
  WaitingAttempt(
      PlacementRequest request,
      OrganisationState organisation,
      long sequence,
      long leastServiceMillis,
      PlacementSettings settings,
      long nowMillis) {
    this.request = request;
    this.organisation = organisation;
    this.sequence = sequence;
    this.arrivedAt = nowMillis - request.waitedMillis();
    this.targetAt = nowMillis + targetWithin(request);
    this.expiresAt = targetAt - leastServiceMillis;
    this.kvUntil = nowMillis + settings.kvLifetimeMillis();
    this.lane = request.serviceClass();
    this.promoteAt =
        switch (lane) {
          case QUICK -> Long.MAX_VALUE;
          case STANDARD -> nowMillis + settings.ageingMillis();
          case DEFERRABLE -> expiresAt - settings.promotionSlackMillis();
        };
  }

  /** How long until the result is late: the deadline for what may wait, else the first token. */
  static long targetWithin(PlacementRequest request) {
    long deadline = request.deadlineWithinMillis();
    return request.serviceClass().mayWait()
        ? deadline
        : Math.min(deadline, request.firstTokenWithinMillis());
  }

  PlacementRequest request() {
    return request;
  }

  OrganisationState organisation() {
    return organisation;
  }

  long sequence() {
    return sequence;
  }

  long arrivedAt() {
    return arrivedAt;
  }

  long expiresAt() {
    return expiresAt;
  }

  /** The order within its organisation and lane: by deadline where it may wait, else by arrival. */
  long orderKey() {
    return lane.mayWait() ? targetAt : arrivedAt;
  }

  /** The class in whose lane it waits now; ageing raises it. */
  ServiceClass lane() {
    return lane;
  }

  /** When the queue has to look at it again. */
  long dueAt() {
    return Math.min(expiresAt, promoteAt);
  }

  /** Raises it by one class; it is then served by arrival and ages on. */
  void promote(long nowMillis, long ageingMillis) {
    lane = lane == ServiceClass.DEFERRABLE ? ServiceClass.STANDARD : ServiceClass.QUICK;
    promoteAt = lane == ServiceClass.QUICK ? Long.MAX_VALUE : nowMillis + ageingMillis;
  }

  /** The prefill upstream on which its KV cache still lives. */
  Optional<UpstreamName> liveKv(long nowMillis) {
    return nowMillis < kvUntil ? request.kvHeldBy() : Optional.empty();
  }

  /** Whether some upstreams are closed to it that are open to others. */
  boolean isRestricted() {
    return request.alone() || !request.avoid().isEmpty();
  }

  MissingResource missing() {
    return missing;
  }

  void missing(MissingResource newer) {
    missing = newer;
  }
}
