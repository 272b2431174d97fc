package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.Grant;
import org.marjoramsail.core.placement.GrantMode;

/**
 * State machine of one request, from its arrival to its single final response.
 *
 * <p>Each event returns the actions that the I/O layer has to perform, in order. A request counts
 * as run once it is sent to a decode upstream or a plain service; a prefill may be repeated. Calls
 * must not overlap. A time before that of an earlier call is ignored.
 */
public final class RequestLifecycle {

  private static final int STALL_ESTIMATE_FACTOR = 4;
  private static final long UNSETTLED_RECHECK_MILLIS = 100;

  private final RequestProfile profile;
  private final LifecyclePolicy policy;
  private final Invariants invariants;
  private final OutstandingAttempts outstanding;
  private final QuarantineGuard guard;
  private final AttemptPlacement placement;
  private final KvTransferState kv;
  private final AttemptHistory history;
  private final BackOff backOff;
  private final FinalResponse finalResponse = new FinalResponse();
  private final RequestProgress progress;
  private final StreamOutput output;
  private List<LifecycleAction> actions = new ArrayList<>();

  private LifecycleState state = LifecycleState.RECEIVED;
  private long nowMillis;
  private int attempt;
  private boolean firstFrameSeen;
  private long waitUntilMillis;
  private Optional<Grant> grant = Optional.empty();

  /** Creates the state machine of one request. */
  public RequestLifecycle(
      RequestProfile profile,
      LifecyclePolicy policy,
      Quarantine quarantine,
      Invariants invariants,
      RandomGenerator random) {
    this.profile = profile;
    this.policy = policy;
    this.invariants = invariants;
    this.outstanding =
        new OutstandingAttempts(
            policy, (ended, upstream) -> quarantine.released(upstream, profile.id(), ended));
    this.guard = new QuarantineGuard(profile, policy, quarantine, outstanding);
    this.placement = new AttemptPlacement(profile, policy, guard);
    this.kv = new KvTransferState(policy, outstanding);
    this.history = new AttemptHistory(profile, invariants);
    this.backOff = new BackOff(policy, random);
    this.output = new StreamOutput(profile.chunking(), profile.requiredVersion());
    this.nowMillis = profile.receivedAtMillis();
    this.progress =
        new RequestProgress(profile.receivedAtMillis(), profile.repeatability().isResendable());
  }

  /** Returns the request. */
  public RequestProfile profile() {
    return profile;
  }

  /** Returns the current state. */
  public LifecycleState state() {
    return state;
  }

  /** Returns the number of the current attempt, from one; zero before the first. */
  public int attempt() {
    return attempt;
  }

  /** Returns the number of tokens that the caller has been sent. */
  public int emittedTokens() {
    return output.tokens();
  }

  /** Returns the upstreams of the current attempt. */
  public Optional<Grant> grant() {
    return grant;
  }

  /** Returns whether the request has ended and no upstream can hold resources for it. */
  public boolean isSettled() {
    return state == LifecycleState.ENDED && outstanding.isEmpty();
  }

  /** Returns when the next {@link LifecycleEvent.TimePassed} is due. */
  public Optional<Long> nextWakeMillis() {
    long backOffEndsAtMillis =
        state == LifecycleState.BACKING_OFF ? waitUntilMillis : Long.MAX_VALUE;
    Stream<Long> ownWakeTimes =
        state == LifecycleState.ENDED
            ? Stream.empty()
            : Stream.of(profile.deadlineAtMillis(), progress.stallAtMillis(), backOffEndsAtMillis);
    return Stream.concat(ownWakeTimes, outstanding.nextRepeatAtMillis().stream())
        .min(Long::compare);
  }

  /**
   * Handles one event.
   *
   * @param event what happened
   * @param atMillis when it happened, on the clock of this daemon
   * @return the actions that the I/O layer has to perform, in order
   */
  public List<LifecycleAction> handle(LifecycleEvent event, long atMillis) {
    nowMillis = Math.max(nowMillis, atMillis);
    actions = new ArrayList<>();
    LifecycleDispatch.dispatch(this, event);
    return actions;
  }

  void started() {
    if (state != LifecycleState.RECEIVED) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    if (guard.isQuarantined(nowMillis)) {
      refuseQuarantined();
    } else if (profile.claimed()) {
      state = LifecycleState.CLAIMING;
      actions.add(new LifecycleAction.RecordClaim());
    } else {
      tryToPlace();
    }
  }

  void claimRecorded() {
    if (state == LifecycleState.ENDED && !history.isClaimRecorded()) {
      history.claimRecorded();
      actions.add(new LifecycleAction.SettleClaim(ClaimOutcome.NOT_RUN));
    } else if (state == LifecycleState.CLAIMING) {
      history.claimRecorded();
      tryToPlace();
    } else {
      countDrop(DropReason.LATE_EVENT);
    }
  }

  void claimRefused(Refusal refusal) {
    if (state != LifecycleState.CLAIMING) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    // The refusal keeps its run state: the claim may record a run by another daemon.
    end(AttemptResult.CANCELLED, ClaimOutcome.NOT_RUN);
    sendFinalResponse(new LifecycleAction.Refuse(refusal));
  }

  private void tryToPlace() {
    Suspicion suspicion = guard.suspicion(nowMillis);
    if (suspicion == Suspicion.QUARANTINED) {
      refuseQuarantined();
      return;
    }
    if (suspicion == Suspicion.UNSETTLED || guard.isWaitingForCancels(suspicion, nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
      return;
    }
    attempt++;
    firstFrameSeen = false;
    state = LifecycleState.PLACING;
    actions.add(
        new LifecycleAction.Place(
            placement.request(
                attempt,
                output,
                progress,
                kv.usable(nowMillis),
                history.priorCalls(),
                suspicion == Suspicion.SUSPECT,
                nowMillis)));
  }

  void granted(Grant newGrant) {
    if (state != LifecycleState.PLACING || newGrant.attempt() != attempt) {
      countDrop(DropReason.LATE_GRANT);
      return;
    }
    grant = Optional.of(newGrant);
    if (guard.isQuarantined(nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      refuseQuarantined();
    } else if (guard.wouldShareUpstreamWithSuspect(newGrant, nowMillis)) {
      postponePlacement();
    } else if (newGrant.mode() == GrantMode.PLAIN) {
      sendPlain(newGrant);
    } else if (newGrant.mode() == GrantMode.LOCAL_PREFILL) {
      actions.addAll(kv.cancel(nowMillis));
      sendDecode(newGrant);
    } else if (kv.isUsableOn(newGrant.prefill(), nowMillis)) {
      sendDecode(newGrant);
    } else {
      actions.addAll(kv.cancel(nowMillis));
      sendPrefill(newGrant);
    }
  }

  /** Ends an attempt that was granted and not run, and requests another placement soon. */
  private void postponePlacement() {
    reportEnd(AttemptResult.CANCELLED, Optional.empty());
    state = LifecycleState.BACKING_OFF;
    progress.stopExpectingProgress();
    waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
  }

  private void sendPrefill(Grant newGrant) {
    UpstreamName upstream = newGrant.prefill().orElseThrow();
    state = LifecycleState.PREFILLING;
    progress.expectProgressUntil(
        nowMillis
            + STALL_ESTIMATE_FACTOR * newGrant.expectedPrefillMillis()
            + policy.prefillStallMillis());
    outstanding.add(attempt, upstream);
    guard.started(attempt, upstream);
    actions.add(new LifecycleAction.SendPrefill(attempt, upstream));
  }

  private void sendDecode(Grant newGrant) {
    if (guard.isQuarantined(nowMillis)) {
      refuseQuarantined();
      return;
    }
    if (guard.wouldShareUpstreamWithSuspect(newGrant, nowMillis)) {
      postponePlacement();
      return;
    }
    if (!history.maySend()) {
      refuseInvariantViolation();
      return;
    }
    state = LifecycleState.GENERATING;
    output.attemptStarted();
    progress.attemptStarted();
    long estimateMillis = newGrant.expectedPrefillMillis() + newGrant.expectedTransferMillis();
    progress.expectWithin(
        STALL_ESTIMATE_FACTOR * estimateMillis + policy.tokenStallMillis(), nowMillis);
    history.recordSend(attempt);
    outstanding.add(attempt, newGrant.target());
    guard.started(attempt, newGrant.target());
    actions.add(
        new LifecycleAction.SendDecode(
            attempt, newGrant.target(), output.tokens(), output.requiredVersion(), kv.source()));
  }

  private void sendPlain(Grant newGrant) {
    if (!history.maySend()) {
      refuseInvariantViolation();
      return;
    }
    state = LifecycleState.PLAIN_RUNNING;
    progress.expectWithin(policy.responseStallMillis(), nowMillis);
    progress.requestSent(nowMillis);
    history.recordSend(attempt);
    guard.started(attempt, newGrant.target());
    actions.add(new LifecycleAction.SendPlain(attempt, newGrant.target()));
  }

  private void refuseInvariantViolation() {
    refuse(RefusalReason.INTERNAL, "The request was not sent: an invariant did not hold.");
  }

  void placementRefused(LifecycleEvent.PlacementRefused refused) {
    if (state != LifecycleState.PLACING || refused.attempt() != attempt) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    state = LifecycleState.BACKING_OFF;
    if (refused.refusal().reason() == RefusalReason.NO_UPSTREAM
        && placement.isAvoidingSuspects(nowMillis)) {
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
    } else {
      refuse(refused.refusal());
    }
  }

  void prefilled(LifecycleEvent.Prefilled event) {
    if (state != LifecycleState.PREFILLING || event.attempt() != attempt) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    Grant current = grant.orElseThrow();
    UpstreamName prefillUpstream = current.prefill().orElseThrow();
    guard.stopRunning(attempt);
    guard.released(attempt, prefillUpstream);
    history.upstreamReached(true);
    kv.store(
        new KvSource(
            prefillUpstream,
            attempt,
            event.handle(),
            event.promptTokens(),
            nowMillis + event.lifetimeMillis()));
    report(AttemptPhase.PREFILLED, event.cachedTokens(), event.tookMillis());
    sendDecode(current);
  }

  void outputStarted(LifecycleEvent.OutputStarted started) {
    if (state != LifecycleState.GENERATING || started.attempt() != attempt) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    output.started(started.version());
  }

  void tokenArrived(LifecycleEvent.TokenArrived token) {
    if (!token.request().equals(profile.id())) {
      countDrop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || token.attempt() != attempt) {
      countDrop(DropReason.LATE_FRAME);
    } else if (token.index() < output.tokens()) {
      countDrop(DropReason.REPEATED_FRAME);
    } else if (token.index() > output.tokens()) {
      failCurrent(UpstreamFailure.MALFORMED);
    } else {
      firstFrameReceived();
      emit(token);
    }
  }

  private void emit(LifecycleEvent.TokenArrived token) {
    invariants.check(token.index() == output.tokens(), Invariant.TOKENS_IN_ORDER, profile.id());
    invariants.check(!finalResponse.isSent(), Invariant.SILENT_AFTER_END, profile.id());
    invariants.check(output.isOfOneVersion(), Invariant.ONE_SOFTWARE_VERSION, profile.id());
    output
        .sendToken()
        .ifPresent(version -> actions.add(new LifecycleAction.RecordVersion(version)));
    progress.chunkSent(nowMillis);
    progress.expectWithin(policy.tokenStallMillis(), nowMillis);
    actions.add(new LifecycleAction.EmitToken(token.index(), token.text()));
  }

  /** Releases the KV cache: the first frame proves that the decode upstream has imported it. */
  private void firstFrameReceived() {
    if (firstFrameSeen) {
      return;
    }
    firstFrameSeen = true;
    guard.outputReceived(attempt);
    kv.release();
    report(AttemptPhase.GENERATING, 0, 0);
  }

  void streamFinished(LifecycleEvent.StreamFinished finished) {
    if (!finished.request().equals(profile.id())) {
      countDrop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || finished.attempt() != attempt) {
      countDrop(DropReason.LATE_FRAME);
    } else if (finished.index() != output.tokens()) {
      failCurrent(UpstreamFailure.MALFORMED);
    } else {
      firstFrameReceived();
      outstanding.release(attempt, grant.orElseThrow().target());
      sendFinalResponse(new LifecycleAction.Complete(output.completion(finished)));
      guard.completed(nowMillis);
      end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
    }
  }

  void plainResponseReceived(LifecycleEvent.PlainResponseReceived response) {
    if (state != LifecycleState.PLAIN_RUNNING || response.attempt() != attempt) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    progress.responseReceived(nowMillis);
    if (!finalResponse.isCallerDisconnected()) {
      sendFinalResponse(new LifecycleAction.DeliverResponse(attempt));
    }
    guard.completed(nowMillis);
    end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
  }

  /** Retries a request that may run again; keeps the failure response in case no retry succeeds. */
  void failureResponseReceived(LifecycleEvent.FailureResponseReceived failed) {
    boolean isAwaited =
        state == LifecycleState.PLAIN_RUNNING
            || (state == LifecycleState.GENERATING && !firstFrameSeen);
    if (!isAwaited || failed.attempt() != attempt) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    UpstreamName upstream = grant.orElseThrow().target();
    history.upstreamReached(false);
    outstanding.release(attempt, upstream);
    guard.stopRunning(attempt);
    kv.release();
    finalResponse.keepFailureResponse(attempt);
    reportEnd(AttemptResult.FAILED, Optional.of(upstream));
    if (!profile.repeatability().isResendable() || !mayTryAgain()) {
      state = LifecycleState.BACKING_OFF;
      refuse(RefusalReason.UPSTREAM_FAILED, "The upstream responded with a failure.");
      return;
    }
    placement.failedOn(upstream);
    actions.add(new LifecycleAction.CountRetry(RetryReason.UPSTREAM_ERROR, true));
    progress.stopExpectingProgress();
    tryToPlace();
  }

  private boolean mayTryAgain() {
    return attempt < policy.maximumAttempts() && history.sends() < policy.maximumSends();
  }

  void upstreamFailed(LifecycleEvent.UpstreamFailed failed) {
    if (failed.failure().isNotRun()) {
      outstanding.release(failed.attempt(), failed.upstream());
    }
    boolean isCurrent = state.isRunning() && failed.attempt() == attempt;
    if (isCurrent && guard.isRunningOn(failed.upstream())) {
      failCurrent(failed.failure());
    } else {
      countDrop(DropReason.LATE_EVENT);
    }
  }

  void cancelConfirmed(LifecycleEvent.CancelConfirmed confirmed) {
    outstanding.release(confirmed.attempt(), confirmed.upstream());
  }

  void upstreamRestarted(UpstreamName upstream) {
    outstanding.releaseAll(upstream);
    kv.holderRestarted(upstream);
    if (state.isRunning() && guard.isRunningOn(upstream)) {
      failCurrent(UpstreamFailure.CUT);
    }
  }

  /** Ends the current attempt with a failure and retries where that is allowed. */
  private void failCurrent(UpstreamFailure failure) {
    UpstreamName upstream = guard.runningOn().orElseThrow();
    boolean prefillFailed = state == LifecycleState.PREFILLING;
    if (failure.mayBeCrash()) {
      guard.connectionLost(attempt, upstream, nowMillis);
    }
    guard.stopRunning(attempt);
    if (failure.isNotRun()) {
      history.markNotRun(attempt);
    }
    if (failure.isNeverSent()) {
      history.undoSend(prefillFailed);
    } else {
      history.upstreamReached(false);
    }
    actions.add(new LifecycleAction.CloseAttempt(attempt));
    actions.addAll(outstanding.cancel(attempt, upstream, nowMillis));
    reportEnd(failure.attemptResult(), Optional.of(upstream));
    if (failure == UpstreamFailure.KV_EXPIRED) {
      kv.release();
    } else {
      placement.failedOn(upstream);
    }
    if (history.mayHaveRun() && !profile.repeatability().isResendable()) {
      refuse(
          RefusalReason.UPSTREAM_FAILED,
          "The upstream failed after the send; the request may run only once.");
      return;
    }
    retry(
        prefillFailed && !failure.isNotRun() ? RetryReason.PREFILL_FAILED : failure.retryReason());
  }

  private void retry(RetryReason reason) {
    if (!mayTryAgain()) {
      refuse(
          RefusalReason.RETRIES_EXHAUSTED,
          "Attempt " + attempt + " failed (" + reason.code() + ") and no retry is left.");
      return;
    }
    actions.add(new LifecycleAction.CountRetry(reason, history.priorCalls().isAny()));
    if (kv.usable(nowMillis).isPresent()) {
      tryToPlace();
      return;
    }
    state = LifecycleState.BACKING_OFF;
    waitUntilMillis = nowMillis + backOff.nextMillis();
  }

  void callerDisconnected() {
    if (state == LifecycleState.ENDED) {
      return;
    }
    finalResponse.callerDisconnected();
    // A claimed plain call runs to its end, so that its claim records the actual outcome.
    if (state == LifecycleState.PLAIN_RUNNING && history.isClaimRecorded()) {
      return;
    }
    end(AttemptResult.CANCELLED, history.outcomeWithoutResponse());
  }

  void callerEnded(Refusal refusal) {
    if (state != LifecycleState.ENDED) {
      refuse(refusal);
    }
  }

  void timePassed() {
    actions.addAll(outstanding.repeatCancels(nowMillis));
    if (state == LifecycleState.ENDED) {
      return;
    }
    if (nowMillis >= profile.deadlineAtMillis()) {
      refuse(RefusalReason.DEADLINE_PASSED, "The deadline of the request has passed.");
    } else if (state == LifecycleState.BACKING_OFF && nowMillis >= waitUntilMillis) {
      tryToPlace();
    } else if (state.isRunning() && nowMillis >= progress.stallAtMillis()) {
      recordSilence();
      failCurrent(UpstreamFailure.TIMED_OUT);
    }
  }

  private void recordSilence() {
    UpstreamName upstream = guard.runningOn().orElseThrow();
    actions.add(new LifecycleAction.RecordSilence(attempt, upstream, state, output.tokens()));
  }

  private void refuseQuarantined() {
    refuse(RefusalReason.QUARANTINED, guard.refusalDetail());
  }

  private void refuse(RefusalReason reason, String detail) {
    refuse(Refusal.notRun(reason, detail));
  }

  /** Refuses with the run state of this lifecycle, in place of that of the refusal. */
  private void refuse(Refusal refusal) {
    finalResponse.unsuccessfulEnd(refusal, history.runState()).ifPresent(this::sendFinalResponse);
    end(AttemptResult.CANCELLED, history.outcomeWithoutResponse());
  }

  private void sendFinalResponse(LifecycleAction action) {
    if (invariants.check(finalResponse.markSent(), Invariant.SILENT_AFTER_END, profile.id())) {
      actions.add(action);
    }
  }

  private void end(AttemptResult result, ClaimOutcome outcome) {
    boolean wasPlacing = state == LifecycleState.PLACING;
    boolean wasRunning = state.isRunning() && outcome != ClaimOutcome.COMPLETED;
    state = LifecycleState.ENDED;
    progress.stopExpectingProgress();
    if (wasRunning) {
      actions.add(new LifecycleAction.CloseAttempt(attempt));
    }
    guard.stopRunning(attempt);
    if (wasPlacing) {
      actions.add(new LifecycleAction.Withdraw(profile.id()));
    }
    reportEnd(result, Optional.empty());
    if (history.isClaimRecorded()) {
      actions.add(new LifecycleAction.SettleClaim(outcome));
    }
    kv.releaseExpired(nowMillis);
    actions.addAll(outstanding.cancelAll(nowMillis));
  }

  private void report(AttemptPhase phase, int cachedTokens, long tookMillis) {
    actions.add(
        history.progressReport(attempt, phase, cachedTokens, tookMillis, output.generatedTokens()));
  }

  private void reportEnd(AttemptResult result, Optional<UpstreamName> failedUpstream) {
    if (grant.isPresent()) {
      grant = Optional.empty();
      history
          .endReport(attempt, result, failedUpstream, output.generatedTokens(), progress)
          .ifPresent(actions::add);
    }
  }

  private void countDrop(DropReason reason) {
    actions.add(new LifecycleAction.CountDrop(reason));
  }
}
