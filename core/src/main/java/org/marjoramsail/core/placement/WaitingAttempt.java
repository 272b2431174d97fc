package org.marjoramsail.core.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.ServiceClass;
import org.marjoramsail.core.model.SoftwareVersion;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.routing.UrgencyRanks;

/** Attempt that waits in the queue of a shard. */
final class WaitingAttempt {

  private static final long NEVER = Long.MAX_VALUE;

  /**
   * Advantage of a retry in the order of late attempts, so that it comes before all others there.
   */
  private static final long RETRY_ADVANTAGE_MILLIS = 60_000;

  /**
   * Upstreams that an attempt excludes.
   *
   * @param requiredVersion the only software version that it may use; empty for any
   * @param avoid the upstreams that it avoids
   * @param alone whether it must not share an upstream with another suspect
   */
  record Restriction(
      Optional<SoftwareVersion> requiredVersion, List<UpstreamName> avoid, boolean alone) {}

  private final PlacementRequest request;
  private final OrganisationState organisation;
  private final long sequence;
  private final long arrivedAt;
  private final long targetAt;
  private final long usefulUntil;
  private final long kvHeldUntil;

  private final boolean needsPrefillUpstream;
  private final boolean returned;

  private ServiceClass effectiveClass;
  private boolean late;
  private long expiresAt;
  private long promoteAt;
  private long queuedAt;
  private boolean nearDeadline;
  private MissingResource missing = MissingResource.DECODE_SLOT;

  /**
   * Creates an attempt and computes its times on the owner's clock.
   *
   * @param leastServiceMillis the least time from its start to its target
   * @param needsPrefillUpstream whether a prefill upstream has to prefill its prompt
   * @param isRetry whether its caller was refused with a time to retry and has retried
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
    this.returned = isRetry;
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

  /**
   * Returns the time until the result is late: until the deadline for a deferrable request, else
   * until the first token is due.
   */
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

  /** Returns the last time at which a start is worthwhile, even if the output is late. */
  long usefulUntil() {
    return usefulUntil;
  }

  /** Returns whether it is still worthwhile after a missed target and has not yet been demoted. */
  boolean canWaitPastTarget() {
    return !late && usefulUntil > expiresAt;
  }

  /** Returns whether its target was given up. */
  boolean isLate() {
    return late;
  }

  /** Gives up the target; only the deadline counts from now on. */
  void demote() {
    late = true;
    expiresAt = usefulUntil;
  }

  /** Returns the time until the output is of no use, whether or not it is late by then. */
  static long usefulWithinMillis(PlacementRequest request) {
    return request.serviceClass().isUsefulAfterTarget()
        ? request.deadlineWithinMillis()
        : targetWithinMillis(request);
  }

  /**
   * Returns the sort key within its organisation and lane: deadline if it is deferrable, else
   * arrival.
   */
  long orderKey() {
    return effectiveClass.mayWait() ? targetAt : queuedAt;
  }

  /** Returns the lane in which it waits now; promotion and demotion change it. */
  int lane() {
    int ofClass = WaitingQueue.FIRST_CLASS_LANE + 2 * effectiveClass.rank();
    int ofRank = WaitingQueue.LANES_OF_RANK * urgency();
    int ofNewOutput = (late ? WaitingQueue.FIRST_LATE_LANE : ofClass) + ofRank;
    int first = isContinuation() ? WaitingQueue.CONTINUATION_LANE : ofNewOutput;
    return first + (needsPrefillUpstream ? 1 : 0);
  }

  /** Returns its urgency rank; zero for a class that has no ranks. */
  int urgency() {
    boolean isRanked = effectiveClass == ServiceClass.TIMELY;
    return isRanked ? Math.max(0, Math.min(UrgencyRanks.LOWEST, request.urgency())) : 0;
  }

  /** Returns when the queue has to handle it: at its promotion or its expiry. */
  long dueAt() {
    return Math.min(expiresAt, promoteAt);
  }

  /** Returns whether its caller has returned after a rejection. */
  boolean hasReturned() {
    return returned;
  }

  /** Returns whether it is deferrable and its deadline is near. */
  boolean isNearDeadline() {
    return nearDeadline;
  }

  /**
   * Promotes the attempt once: a standard attempt by one class, where it is queued as if it had
   * just arrived; a deferrable attempt within its lane, which is then served more often.
   *
   * <p>Guards against overload, in which all waiting attempts become old: served before new
   * arrivals of the higher class, they would make those late as well.
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

  /** Returns the prefill upstream that still holds its KV cache. */
  Optional<UpstreamName> liveKv(long nowMillis) {
    return nowMillis < kvHeldUntil ? request.kvHeldBy() : Optional.empty();
  }

  /** Returns whether it excludes some upstreams that are open to others. */
  boolean isRestricted() {
    return request.alone() || !request.avoid().isEmpty() || isContinuation();
  }

  /** Returns the upstreams that it excludes. */
  Restriction restriction() {
    return new Restriction(request.requiredVersion(), request.avoid(), request.alone());
  }

  /** Returns whether it continues an output that a caller has received in part. */
  boolean isContinuation() {
    return request.requiredVersion().isPresent();
  }

  MissingResource missing() {
    return missing;
  }

  void missing(MissingResource newMissing) {
    missing = newMissing;
  }
}
