package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

/** One attempt in the queue of a shard. */
final class WaitingAttempt {

  private static final long NEVER = Long.MAX_VALUE;

  /** Who comes back stands before all others that are late. */
  private static final long RETURNED_BEFORE_MILLIS = 60_000;

  private final PlacementRequest request;
  private final OrganisationState organisation;
  private final long sequence;
  private final long arrivedAt;
  private final long targetAt;
  private final long uselessAt;
  private final long kvUntil;

  private final boolean needsReader;

  private ServiceClass served;
  private boolean late;
  private long expiresAt;
  private long promoteAt;
  private long queuedAt;
  private boolean pressing;
  private MissingResource missing = MissingResource.DECODE_SLOT;

  /**
   * Computes the times on the owner's clock.
   *
   * @param leastServiceMillis the least time from its start to its target
   * @param needsReader whether a prefill upstream has to read its prompt
   * @param returned whether its caller was told to come back and did
   */
  WaitingAttempt(
      PlacementRequest request,
      OrganisationState organisation,
      long sequence,
      long leastServiceMillis,
      boolean needsReader,
      boolean returned,
      PlacementSettings settings,
      long nowMillis) {
    this.request = request;
    this.organisation = organisation;
    this.sequence = sequence;
    this.arrivedAt = nowMillis - request.waitedMillis();
    this.targetAt = nowMillis + targetWithin(request);
    this.expiresAt = targetAt - leastServiceMillis;
    this.uselessAt =
        request.serviceClass().isUsefulAfterTarget()
            ? Math.max(expiresAt, nowMillis + request.deadlineWithinMillis() - leastServiceMillis)
            : expiresAt;
    this.kvUntil = nowMillis + settings.kvLifetimeMillis();
    this.needsReader = needsReader;
    this.served = request.serviceClass();
    this.queuedAt = returned ? arrivedAt - RETURNED_BEFORE_MILLIS : arrivedAt;
    if (returned) {
      this.expiresAt = uselessAt;
      this.late = true;
    }
    long ageingMillis = Math.max(settings.ageingMillis(), targetWithin(request) / 2);
    this.promoteAt =
        switch (served) {
          case QUICK, TIMELY -> NEVER;
          case STANDARD -> nowMillis + ageingMillis;
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

  /** Until when an answer, in time or late, is worth a start. */
  long uselessAt() {
    return uselessAt;
  }

  /** Whether it has missed its target and goes on waiting for a late answer. */
  boolean canWaitLate() {
    return !late && uselessAt > expiresAt;
  }

  /** Gives up its target; from now on only its deadline counts. */
  void demote() {
    late = true;
    expiresAt = uselessAt;
  }

  /** How long until its answer is worth nothing, whether or not it is late by then. */
  static long usefulWithin(PlacementRequest request) {
    return request.serviceClass().isUsefulAfterTarget()
        ? request.deadlineWithinMillis()
        : targetWithin(request);
  }

  /** The order within its organisation and lane: by deadline where it may wait, else by arrival. */
  long orderKey() {
    return served.mayWait() ? targetAt : queuedAt;
  }

  /** The lane in which it waits now; ageing raises it. */
  int lane() {
    int first = late ? WaitingQueue.LATE_LANE : 2 * served.rank();
    return first + (needsReader ? 1 : 0);
  }

  /** When the queue has to look at it again. */
  long dueAt() {
    return Math.min(expiresAt, promoteAt);
  }

  /** Whether it may wait in principle, but has hardly any time left to. */
  boolean isPressing() {
    return pressing;
  }

  /**
   * Raises it, once: a standard attempt by one class, where it is served as if it had just come; a
   * deferrable one within its lane, which is then served more often.
   *
   * <p>Under overload all that waits gets old. Would it go before what comes fresh in the higher
   * class, that would be late too, and nothing at all would meet its target.
   */
  void promote(long nowMillis) {
    if (served == ServiceClass.DEFERRABLE) {
      pressing = true;
    } else {
      served = ServiceClass.QUICK;
      queuedAt = nowMillis;
    }
    promoteAt = NEVER;
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
