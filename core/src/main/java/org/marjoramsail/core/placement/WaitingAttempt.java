package org.marjoramsail.core.placement;

import java.util.Optional;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.UpstreamName;

/** One attempt in the queue of a shard. */
final class WaitingAttempt {

  private static final long NEVER = Long.MAX_VALUE;

  /** Who comes back stands before all others that are late. */
  private static final long RETRY_ADVANTAGE_MILLIS = 60_000;

  private final PlacementRequest request;
  private final OrganisationState organisation;
  private final long sequence;
  private final long arrivedAt;
  private final long targetAt;
  private final long usefulUntil;
  private final long kvHeldUntil;

  private final boolean needsPrefillUpstream;

  private ServiceClass effectiveClass;
  private boolean late;
  private long expiresAt;
  private long promoteAt;
  private long queuedAt;
  private boolean nearDeadline;
  private MissingResource missing = MissingResource.DECODE_SLOT;

  /**
   * Computes the times on the owner's clock.
   *
   * @param leastServiceMillis the least time from its start to its target
   * @param needsPrefillUpstream whether a prefill upstream has to read its prompt
   * @param isRetry whether its caller was told to come back and did
   */
  WaitingAttempt(
      PlacementRequest request,
      OrganisationState organisation,
      long sequence,
      long leastServiceMillis,
      boolean needsPrefillUpstream,
      boolean isRetry,
      PlacementSettings settings,
      long nowMillis) {
    this.request = request;
    this.organisation = organisation;
    this.sequence = sequence;
    this.arrivedAt = nowMillis - request.waitedMillis();
    this.targetAt = nowMillis + targetWithinMillis(request);
    this.expiresAt = targetAt - leastServiceMillis;
    this.usefulUntil =
        request.serviceClass().isUsefulAfterTarget()
            ? Math.max(expiresAt, nowMillis + request.deadlineWithinMillis() - leastServiceMillis)
            : expiresAt;
    this.kvHeldUntil = nowMillis + settings.kvLifetimeMillis();
    this.needsPrefillUpstream = needsPrefillUpstream;
    this.effectiveClass = request.serviceClass();
    this.queuedAt = isRetry ? arrivedAt - RETRY_ADVANTAGE_MILLIS : arrivedAt;
    if (isRetry) {
      this.expiresAt = usefulUntil;
      this.late = true;
    }
    long ageingMillis = Math.max(settings.ageingMillis(), targetWithinMillis(request) / 2);
    this.promoteAt =
        switch (effectiveClass) {
          case QUICK, TIMELY -> NEVER;
          case STANDARD -> nowMillis + ageingMillis;
          case DEFERRABLE -> expiresAt - settings.promotionSlackMillis();
        };
  }

  /** How long until the result is late: the deadline for what may wait, else the first token. */
  static long targetWithinMillis(PlacementRequest request) {
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
  long usefulUntil() {
    return usefulUntil;
  }

  /** Whether it has missed its target and goes on waiting for a late answer. */
  boolean canWaitPastTarget() {
    return !late && usefulUntil > expiresAt;
  }

  /** Gives up its target; from now on only its deadline counts. */
  void demote() {
    late = true;
    expiresAt = usefulUntil;
  }

  /** How long until its answer is worth nothing, whether or not it is late by then. */
  static long usefulWithinMillis(PlacementRequest request) {
    return request.serviceClass().isUsefulAfterTarget()
        ? request.deadlineWithinMillis()
        : targetWithinMillis(request);
  }

  /** The order within its organisation and lane: by deadline where it may wait, else by arrival. */
  long orderKey() {
    return effectiveClass.mayWait() ? targetAt : queuedAt;
  }

  /** The lane in which it waits now; ageing raises it. */
  int lane() {
    int first = late ? WaitingQueue.LATE_LANE : 2 * effectiveClass.rank();
    return first + (needsPrefillUpstream ? 1 : 0);
  }

  /** When the queue has to look at it again. */
  long dueAt() {
    return Math.min(expiresAt, promoteAt);
  }

  /** Whether it may wait in principle, but has hardly any time left to. */
  boolean isNearDeadline() {
    return nearDeadline;
  }

  /**
   * Raises it, once: a standard attempt by one class, where it is effectiveClass as if it had just
   * come; a deferrable one within its lane, which is then effectiveClass more often.
   *
   * <p>Under overload all that waits gets old. Would it go before what comes fresh in the higher
   * class, that would be late too, and nothing at all would meet its target.
   */
  void promote(long nowMillis) {
    if (effectiveClass == ServiceClass.DEFERRABLE) {
      nearDeadline = true;
    } else {
      effectiveClass = ServiceClass.QUICK;
      queuedAt = nowMillis;
    }
    promoteAt = NEVER;
  }

  /** The prefill upstream on which its KV cache still lives. */
  Optional<UpstreamName> liveKv(long nowMillis) {
    return nowMillis < kvHeldUntil ? request.kvHeldBy() : Optional.empty();
  }

  /** Whether some upstreams are closed to it that are open to others. */
  boolean isRestricted() {
    return request.alone() || !request.avoid().isEmpty();
  }

  MissingResource missing() {
    return missing;
  }

  void missing(MissingResource newMissing) {
    missing = newMissing;
  }
}
