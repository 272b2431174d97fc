package org.marjoramsail.core.outcome;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.PriorCalls;

/** Records which attempts of one request were sent, may have run and were reported. */
final class AttemptHistory {

  private final RequestProfile profile;
  private final Invariants invariants;
  private final Set<Integer> possiblyRun = new HashSet<>(2);
  private final Set<Integer> endReported = new HashSet<>(2);
  private boolean claimRecorded;
  private boolean prefillAccepted;
  private boolean otherCallReached;
  private int sends;

  AttemptHistory(RequestProfile profile, Invariants invariants) {
    this.profile = profile;
    this.invariants = invariants;
  }

  /** Returns whether the invariants allow the request to be sent to where it runs. */
  boolean maySend() {
    boolean mayRunAgain = profile.repeatability().isResendable() || possiblyRun.isEmpty();
    boolean claimed = !profile.claimed() || claimRecorded;
    return invariants.check(mayRunAgain, Invariant.AT_MOST_ONE_SEND, profile.id())
        && invariants.check(claimed, Invariant.CLAIM_BEFORE_SEND, profile.id());
  }

  void claimRecorded() {
    claimRecorded = true;
  }

  boolean isClaimRecorded() {
    return claimRecorded;
  }

  void recordSend(int attempt) {
    possiblyRun.add(attempt);
    sends++;
  }

  /** Returns the number of attempts that were sent to where they run. */
  int sends() {
    return sends;
  }

  /**
   * Records that an attempt failed. A send for which no connection was established is not counted.
   *
   * @param prefill whether its prefill failed; prefills are not counted as sends
   */
  void recordFailure(int attempt, UpstreamFailure failure, boolean prefill) {
    if (failure.isNotRun()) {
      possiblyRun.remove(attempt);
    }
    if (!failure.isNeverSent()) {
      upstreamReached(false);
    } else if (!prefill) {
      sends--;
    }
  }

  /**
   * Records that a call reached an upstream.
   *
   * @param acceptedPrefill whether it was a prefill that the upstream accepted
   */
  void upstreamReached(boolean acceptedPrefill) {
    prefillAccepted |= acceptedPrefill;
    otherCallReached |= !acceptedPrefill;
  }

  /** Returns the calls that have reached an upstream, including those that it rejected. */
  PriorCalls priorCalls() {
    return new PriorCalls(prefillAccepted, otherCallReached);
  }

  boolean mayHaveRun() {
    return !possiblyRun.isEmpty();
  }

  /**
   * Returns whether the request is proven not to have run.
   *
   * <p>A keyed request without a recorded claim is never reported as not run: an earlier request
   * with the same key may have run elsewhere, and only a recorded claim excludes that.
   */
  RunState runState() {
    boolean earlierMayHaveRun = profile.claimed() && !claimRecorded;
    return mayHaveRun() || earlierMayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  ClaimOutcome outcomeWithoutResponse() {
    return mayHaveRun() ? ClaimOutcome.UNKNOWN : ClaimOutcome.NOT_RUN;
  }

  LifecycleAction progressReport(
      RequestId placementId,
      int attempt,
      AttemptPhase phase,
      int cachedTokens,
      long tookMillis,
      int outputTokens) {
    return new LifecycleAction.Report(
        new AttemptReport(
            placementId,
            attempt,
            phase,
            Optional.empty(),
            Optional.empty(),
            cachedTokens,
            tookMillis,
            outputTokens));
  }

  /** Returns the report of an attempt on which its upstream makes no progress and which runs on. */
  static LifecycleAction silenceReport(SilentAttempt silent, int outputTokens) {
    return new LifecycleAction.Report(
        new AttemptReport(
            silent.placementId(),
            silent.number(),
            silent.phase(),
            Optional.of(AttemptResult.TIMED_OUT),
            Optional.of(silent.upstream()),
            0,
            0,
            outputTokens));
  }

  /** Returns the withdrawal of an attempt that was never sent; empty when its end was reported. */
  Optional<LifecycleAction> endUnsent(RequestId placementId, int attempt) {
    boolean first = endReported.add(attempt);
    return invariants.check(first, Invariant.ONE_END_REPORT, profile.id())
        ? Optional.of(new LifecycleAction.Withdraw(placementId))
        : Optional.empty();
  }

  /** Returns the report of the end of an attempt; empty when it was already reported. */
  Optional<LifecycleAction> endReport(
      RequestId placementId,
      int attempt,
      AttemptResult result,
      Optional<UpstreamName> failedUpstream,
      int outputTokens,
      RequestProgress progress) {
    boolean first = endReported.add(attempt);
    if (!invariants.check(first, Invariant.ONE_END_REPORT, profile.id())) {
      return Optional.empty();
    }
    return Optional.of(
        new LifecycleAction.Report(
            new AttemptReport(
                placementId,
                attempt,
                AttemptPhase.ENDED,
                Optional.of(result),
                failedUpstream,
                0,
                progress.responseMillis(),
                outputTokens,
                progress.longestGapMillis())));
  }
}
