package org.marjoramsail.core.outcome;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.marjoramsail.core.failure.RunState;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptReport;
import org.marjoramsail.core.placement.AttemptResult;

/** Keeps what is known of each attempt of one request: whether it may have run, and its reports. */
final class AttemptHistory {

  private final RequestProfile profile;
  private final Invariants invariants;
  private final Set<Integer> possiblyRun = new HashSet<>(2);
  private final Set<Integer> endReported = new HashSet<>(2);
  private boolean claimRecorded;
  private boolean upstreamReached;
  private int sends;

  AttemptHistory(RequestProfile profile, Invariants invariants) {
    this.profile = profile;
    this.invariants = invariants;
  }

  /** Whether the invariants let an attempt be sent to where it runs. */
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

  /** How many attempts were sent to where they run. */
  int sends() {
    return sends;
  }

  /** Takes back a send for which no connection came about; a prefill never counted. */
  void undoSend(boolean prefill) {
    if (!prefill) {
      sends--;
    }
  }

  /** Notes that an attempt reached an upstream, so that the next one is a repeat there. */
  void upstreamReached() {
    upstreamReached = true;
  }

  /** Whether an upstream has met the request, be it only to turn it away. */
  boolean hasReachedUpstream() {
    return upstreamReached;
  }

  void markNotRun(int attempt) {
    possiblyRun.remove(attempt);
  }

  boolean mayHaveRun() {
    return !possiblyRun.isEmpty();
  }

  /**
   * What is proven of the run.
   *
   * <p>Guards against a ballot that is called not run though its voter's first try ran it: a repeat
   * with the same key is refused elsewhere before its claim could be read, during an outage of the
   * store, say. Only a recorded claim proves that no earlier request with the key was sent.
   */
  RunState runState() {
    boolean earlierMayHaveRun = profile.claimed() && !claimRecorded;
    return mayHaveRun() || earlierMayHaveRun ? RunState.UNKNOWN : RunState.NOT_RUN;
  }

  ClaimOutcome outcomeWithoutResponse() {
    return mayHaveRun() ? ClaimOutcome.UNKNOWN : ClaimOutcome.NOT_RUN;
  }

  LifecycleAction progressReport(
      int attempt, AttemptPhase phase, int cachedTokens, long tookMillis, int outputTokens) {
    return new LifecycleAction.Report(
        new AttemptReport(
            profile.id(),
            attempt,
            phase,
            Optional.empty(),
            Optional.empty(),
            cachedTokens,
            tookMillis,
            outputTokens));
  }

  /** The one report of an attempt's end; nothing when it was already given. */
  Optional<LifecycleAction> endReport(
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
                profile.id(),
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
