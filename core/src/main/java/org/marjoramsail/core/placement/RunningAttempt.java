package org.marjoramsail.core.placement;

import java.util.Optional;

/** One attempt that holds slots. */
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

  /**
   * Creates an instance with what was reserved for it.
   *
   * @param prefill absent where the grant has none or this owner does not know it
   * @param target absent where this owner does not know it
   * @param uncachedTokens tokens of the prompt that are not expected in the reader's cache
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

  Optional<UpstreamState> prefill() {
    return prefill;
  }

  Optional<UpstreamState> target() {
    return target;
  }

  /** The upstream that reads the prompt. */
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

  void enter(AttemptPhase newPhase, long nowMillis) {
    phase = newPhase;
    phaseStartedAt = nowMillis;
  }
}
