package org.marjoramsail.core.placement;

import java.util.Optional;

/** Attempt that was granted and holds slots. */
final class RunningAttempt {

  private final PlacementRequest request;
  private final Grant grant;
  private final OrganisationState organisation;
  private final Optional<UpstreamState> prefill;
  private final Optional<UpstreamState> target;
  private final int uncachedTokens;
  private final int expectedCachedTokens;
  private final long transferBytes;
  private final long startedAt;

  private AttemptPhase phase;
  private long phaseStartedAt;
  private double costMillis;
  private boolean isCharged;

  /**
   * Creates an attempt with the upstreams that were reserved for it.
   *
   * @param prefill absent if the grant has none or this owner does not know the upstream
   * @param target absent if this owner does not know the upstream
   * @param uncachedTokens prompt tokens that are not expected in the cache of the prefilling
   *     upstream
   */
  RunningAttempt(
      PlacementRequest request,
      Grant grant,
      OrganisationState organisation,
      Optional<UpstreamState> prefill,
      Optional<UpstreamState> target,
      int uncachedTokens,
      long transferBytes,
      AttemptPhase phase,
      long nowMillis) {
    this.request = request;
    this.grant = grant;
    this.organisation = organisation;
    this.prefill = prefill;
    this.target = target;
    this.uncachedTokens = uncachedTokens;
    this.expectedCachedTokens = request.promptTokens() - uncachedTokens;
    this.transferBytes = transferBytes;
    this.phase = phase;
    this.startedAt = nowMillis;
    this.phaseStartedAt = nowMillis;
  }

  PlacementRequest request() {
    return request;
  }

  Grant grant() {
    return grant;
  }

  OrganisationState organisation() {
    return organisation;
  }

  /** Charges its start to the limits of its organisation. */
  void charge(long nowMillis) {
    organisation.started(request, nowMillis);
    isCharged = true;
  }

  /** Returns what was charged here, if anything, to the limits of its organisation. */
  void refund(long nowMillis) {
    if (isCharged) {
      isCharged = false;
      organisation.refund(request, nowMillis);
    }
  }

  Optional<UpstreamState> prefill() {
    return prefill;
  }

  Optional<UpstreamState> target() {
    return target;
  }

  /** Returns the upstream that prefills the prompt. */
  Optional<UpstreamState> prefillingUpstream() {
    return grant.mode().isTransferring() ? prefill : target;
  }

  int uncachedTokens() {
    return uncachedTokens;
  }

  int expectedCachedTokens() {
    return expectedCachedTokens;
  }

  long transferBytes() {
    return transferBytes;
  }

  long startedAt() {
    return startedAt;
  }

  AttemptPhase phase() {
    return phase;
  }

  long phaseStartedAt() {
    return phaseStartedAt;
  }

  /** Returns the expected work that it added to its target. */
  double costMillis() {
    return costMillis;
  }

  void costMillis(double millis) {
    costMillis = millis;
  }

  void enter(AttemptPhase newPhase, long nowMillis) {
    phase = newPhase;
    phaseStartedAt = nowMillis;
  }
}
