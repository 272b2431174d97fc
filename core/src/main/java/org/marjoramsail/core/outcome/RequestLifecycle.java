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
  private final AttemptLauncher launcher;
  private final CurrentAttempt attempt;
  private final SilentAttempts silent;
  private List<LifecycleAction> actions = new ArrayList<>();

  private LifecycleState state = LifecycleState.RECEIVED;
  private long nowMillis;
  private long waitUntilMillis;

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
    this.launcher = new AttemptLauncher(policy, guard, outstanding, history, progress, output, kv);
    this.attempt =
        new CurrentAttempt(profile.id(), guard, outstanding, history, progress, output, kv);
    this.silent = new SilentAttempts(guard, outstanding, history, kv);
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
    return attempt.number();
  }

  /** Returns the number of tokens that the caller has been sent. */
  public int emittedTokens() {
    return output.tokens();
  }

  /** Returns the upstreams of the current attempt. */
  public Optional<Grant> grant() {
    return attempt.grant();
  }

  /** Returns whether the request has ended and no upstream can hold resources for it. */
  public boolean isSettled() {
    return state == LifecycleState.ENDED && outstanding.isEmpty();
  }

  /** Returns when the next {@link LifecycleEvent.TimePassed} is due. */
  public Optional<Long> nextWakeMillis() {
    long waitEndsAtMillis =
        state == LifecycleState.BACKING_OFF ? waitUntilMillis : silent.overlapUntilMillis(state);
    Stream<Long> ownWakeTimes =
        state == LifecycleState.ENDED
            ? Stream.empty()
            : Stream.of(profile.deadlineAtMillis(), progress.stallAtMillis(), waitEndsAtMillis);
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
    if (silent.recordProgress(event, profile.id())) {
      resumeSilent(SilenceOutcome.RESUMED);
    }
    LifecycleDispatch.dispatch(this, event);
    return actions;
  }

  void started() {
    if (state != LifecycleState.RECEIVED) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    if (guard.isQuarantined(nowMillis)) {
      giveUpAttempt(guard.refusal(nowMillis));
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
    // A content that may crash upstreams runs on one at a time.
    if (suspicion == Suspicion.QUARANTINED
        || (suspicion != Suspicion.CLEAR && silent.isPresent())) {
      giveUpAttempt(guard.refusal(nowMillis));
      return;
    }
    if (suspicion == Suspicion.UNSETTLED || guard.isWaitingForCancels(suspicion, nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
      return;
    }
    attempt.startNext(silent);
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
    if (state != LifecycleState.PLACING || newGrant.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_GRANT);
      return;
    }
    attempt.granted(newGrant);
    if (guard.isQuarantined(nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      giveUpAttempt(guard.refusal(nowMillis));
    } else if (guard.mustPostpone(newGrant, nowMillis)) {
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
    attempt.reportEnd(AttemptResult.CANCELLED, Optional.empty()).ifPresent(actions::add);
    state = LifecycleState.BACKING_OFF;
    progress.stopExpectingProgress();
    waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
  }

  private void sendPrefill(Grant newGrant) {
    state = LifecycleState.PREFILLING;
    attempt.callSent(true);
    actions.add(launcher.sendPrefill(newGrant, nowMillis));
  }

  private void sendDecode(Grant newGrant) {
    if (guard.isQuarantined(nowMillis)) {
      giveUpAttempt(guard.refusal(nowMillis));
      return;
    }
    if (guard.mustPostpone(newGrant, nowMillis)) {
      postponePlacement();
      return;
    }
    if (!history.maySend()) {
      refuse(LifecycleRefusals.invariantViolated());
      return;
    }
    if (silent.isPrefilling()) {
      endSilent(SilenceOutcome.REPLACED, AttemptResult.CANCELLED);
    }
    silent.sentElsewhere(output.tokens() > 0, nowMillis);
    state = LifecycleState.GENERATING;
    attempt.callSent(false);
    actions.add(launcher.sendDecode(newGrant, nowMillis));
  }

  private void sendPlain(Grant newGrant) {
    if (!history.maySend()) {
      refuse(LifecycleRefusals.invariantViolated());
      return;
    }
    state = LifecycleState.PLAIN_RUNNING;
    attempt.callSent(false);
    actions.add(launcher.sendPlain(newGrant, nowMillis));
  }

  void placementRefused(LifecycleEvent.PlacementRefused refused) {
    if (state != LifecycleState.PLACING || refused.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    state = LifecycleState.BACKING_OFF;
    if (refused.refusal().reason() == RefusalReason.NO_UPSTREAM
        && placement.isAvoidingSuspects(nowMillis)) {
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
    } else {
      giveUpAttempt(refused.refusal());
    }
  }

  void prefilled(LifecycleEvent.Prefilled event) {
    if (state != LifecycleState.PREFILLING || event.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    Grant current = attempt.grant().orElseThrow();
    UpstreamName prefillUpstream = current.prefill().orElseThrow();
    guard.stopRunning(attempt.number());
    guard.released(attempt.number(), prefillUpstream);
    history.upstreamReached(true);
    kv.store(
        new KvSource(
            prefillUpstream,
            attempt.number(),
            event.handle(),
            event.promptTokens(),
            nowMillis + event.lifetimeMillis()));
    actions.add(attempt.report(AttemptPhase.PREFILLED, event.cachedTokens(), event.tookMillis()));
    sendDecode(current);
  }

  void outputStarted(LifecycleEvent.OutputStarted started) {
    if (state != LifecycleState.GENERATING || started.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    output.started(started.version());
  }

  void tokenArrived(LifecycleEvent.TokenArrived token) {
    if (!token.request().equals(profile.id())) {
      countDrop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || token.attempt() != attempt.number()) {
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
    actions.add(new LifecycleAction.EmitToken(token.attempt(), token.index(), token.text()));
  }

  /** Releases the KV cache: the first frame proves that the decode upstream has imported it. */
  private void firstFrameReceived() {
    if (attempt.isOutputReceived()) {
      return;
    }
    attempt.outputReceived();
    endSilent(SilenceOutcome.REPLACED, AttemptResult.CANCELLED);
    guard.outputReceived(attempt.number(), nowMillis);
    kv.release();
    actions.add(attempt.report(AttemptPhase.GENERATING, 0, 0));
  }

  void streamFinished(LifecycleEvent.StreamFinished finished) {
    if (!finished.request().equals(profile.id())) {
      countDrop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || finished.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_FRAME);
    } else if (finished.index() != output.tokens()) {
      failCurrent(UpstreamFailure.MALFORMED);
    } else {
      firstFrameReceived();
      outstanding.release(attempt.number(), attempt.grant().orElseThrow().target());
      sendFinalResponse(new LifecycleAction.Complete(output.completion(finished)));
      guard.completed(attempt.number(), nowMillis);
      end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
    }
  }

  void plainResponseReceived(LifecycleEvent.PlainResponseReceived response) {
    if (state != LifecycleState.PLAIN_RUNNING || response.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    progress.responseReceived(nowMillis);
    if (!finalResponse.isCallerDisconnected()) {
      sendFinalResponse(new LifecycleAction.DeliverResponse(attempt.number()));
    }
    guard.completed(attempt.number(), nowMillis);
    end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
  }

  /** Retries a request that may run again; keeps the failure response in case no retry succeeds. */
  void failureResponseReceived(LifecycleEvent.FailureResponseReceived failed) {
    if (silent.isAwaitingResponse(failed.attempt())) {
      finalResponse.keepFailureResponse(failed.attempt());
      endSilent(SilenceOutcome.FAILED, AttemptResult.FAILED);
      return;
    }
    boolean isAwaited = state.isAwaitingResponse(attempt.isOutputReceived());
    if (!isAwaited || failed.attempt() != attempt.number()) {
      countDrop(DropReason.LATE_EVENT);
      return;
    }
    UpstreamName upstream = attempt.grant().orElseThrow().target();
    finalResponse.keepFailureResponse(attempt.number());
    attempt.failureResponseReceived().ifPresent(actions::add);
    if (!profile.repeatability().isResendable() || !attempt.isAnotherAllowed(policy)) {
      state = LifecycleState.BACKING_OFF;
      giveUpAttempt(LifecycleRefusals.failureResponse());
      return;
    }
    placement.avoid(upstream);
    actions.add(new LifecycleAction.CountRetry(RetryReason.UPSTREAM_ERROR, true));
    progress.stopExpectingProgress();
    tryToPlace();
  }

  void upstreamFailed(LifecycleEvent.UpstreamFailed failed) {
    if (failed.failure().isNotRun()) {
      outstanding.release(failed.attempt(), failed.upstream());
    }
    boolean isCurrent = state.isRunning() && failed.attempt() == attempt.number();
    if (silent.isAttempt(failed.attempt()) && silent.isOn(failed.upstream())) {
      actions.addAll(
          silent.failed(failed.failure(), output.generatedTokens(), progress, nowMillis));
    } else if (isCurrent && guard.isRunningOn(failed.upstream())) {
      failCurrent(failed.failure());
    } else {
      countDrop(DropReason.LATE_EVENT);
    }
  }

  void cancelConfirmed(LifecycleEvent.CancelConfirmed confirmed) {
    outstanding.release(confirmed.attempt(), confirmed.upstream());
  }

  void upstreamRestarted(LifecycleEvent.UpstreamRestarted restarted) {
    UpstreamName upstream = restarted.upstream();
    if (guard.isRunningOn(upstream) && progress.wasSentSince(restarted.endedAtMillis())) {
      return;
    }
    outstanding.releaseAll(upstream);
    kv.holderRestarted(upstream);
    if (silent.isOn(upstream)) {
      actions.addAll(
          silent.failed(UpstreamFailure.CUT, output.generatedTokens(), progress, nowMillis));
    }
    if (state.isRunning() && guard.isRunningOn(upstream)) {
      failCurrent(UpstreamFailure.CUT);
    }
  }

  /** Ends the current attempt with a failure and retries where that is allowed. */
  private void failCurrent(UpstreamFailure failure) {
    UpstreamName upstream = guard.runningOn().orElseThrow();
    boolean prefillFailed = state == LifecycleState.PREFILLING;
    actions.addAll(attempt.fail(failure, prefillFailed, nowMillis));
    if (failure == UpstreamFailure.KV_EXPIRED) {
      kv.release();
    } else {
      placement.avoid(upstream);
    }
    if (failure == UpstreamFailure.CALLER_LEFT) {
      state = LifecycleState.BACKING_OFF;
      callerDisconnected();
      return;
    }
    if (history.mayHaveRun() && !profile.repeatability().isResendable()) {
      refuse(LifecycleRefusals.failedAfterSend());
      return;
    }
    retry(
        prefillFailed && !failure.isNotRun() ? RetryReason.PREFILL_FAILED : failure.retryReason());
  }

  private void retry(RetryReason reason) {
    if (!attempt.isAnotherAllowed(policy)) {
      giveUpAttempt(LifecycleRefusals.retriesExhausted(attempt.number(), reason));
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

  void startRefused(Refusal refusal) {
    if (!state.isRunning() && !history.mayHaveRun()) {
      callerEnded(refusal);
    }
  }

  void timePassed() {
    actions.addAll(outstanding.repeatCancels(nowMillis));
    if (state == LifecycleState.ENDED) {
      return;
    }
    if (nowMillis >= profile.deadlineAtMillis()) {
      refuse(LifecycleRefusals.deadlinePassed());
    } else if (state == LifecycleState.BACKING_OFF && nowMillis >= waitUntilMillis) {
      tryToPlace();
    } else if (nowMillis >= silent.overlapUntilMillis(state)) {
      endSilent(SilenceOutcome.REPLACED, AttemptResult.CANCELLED);
    } else if (state.isRunning() && nowMillis >= progress.stallAtMillis()) {
      handleStall();
    }
  }

  /** Requests another attempt beside one that makes no progress, which still runs. */
  private void handleStall() {
    UpstreamName upstream = guard.runningOn().orElseThrow();
    actions.add(
        new LifecycleAction.RecordSilence(attempt.number(), upstream, state, output.tokens()));
    progress.stopExpectingProgress();
    if (silent.isPresent() || !attempt.isAnotherAllowed(policy)) {
      return;
    }
    actions.add(silent.hold(attempt.setAside(state), output.generatedTokens()));
    placement.avoid(upstream);
    actions.add(new LifecycleAction.CountRetry(RetryReason.HEDGE, true));
    state = LifecycleState.BACKING_OFF;
    waitUntilMillis = nowMillis + backOff.nextMillis();
  }

  /** Makes the silent attempt the current one again, and abandons the one beside it. */
  private void resumeSilent(SilenceOutcome outcome) {
    SilentAttempt resumed = silent.release();
    actions.addAll(attempt.abandonFor(resumed, state, nowMillis));
    attempt.resume(resumed);
    state = resumed.state();
    actions.add(
        new LifecycleAction.RecordSilenceOutcome(resumed.number(), resumed.upstream(), outcome));
  }

  private void endSilent(SilenceOutcome outcome, AttemptResult result) {
    actions.addAll(silent.end(outcome, result, output.generatedTokens(), progress, nowMillis));
  }

  /** Refuses the request, unless a silent attempt still runs, which becomes the only one again. */
  private void giveUpAttempt(Refusal refusal) {
    if (!silent.isPresent()) {
      refuse(refusal);
      return;
    }
    attempt.countAbandoned();
    resumeSilent(SilenceOutcome.NOT_REPLACED);
    progress.expectWithin(attempt.nextStallMillis(policy.stallMillis(state)), nowMillis);
  }

  /** Refuses with the run state of this lifecycle, in place of that of the refusal. */
  private void refuse(Refusal refusal) {
    finalResponse
        .unsuccessfulEnd(refusal, history.runState(), output.tokens() > 0)
        .ifPresent(this::sendFinalResponse);
    end(AttemptResult.CANCELLED, history.outcomeWithoutResponse());
  }

  private void sendFinalResponse(LifecycleAction action) {
    if (invariants.check(finalResponse.markSent(), Invariant.SILENT_AFTER_END, profile.id())) {
      actions.add(action);
    }
  }

  private void end(AttemptResult result, ClaimOutcome outcome) {
    boolean isCompleted = outcome == ClaimOutcome.COMPLETED;
    endSilent(
        isCompleted ? SilenceOutcome.REPLACED : SilenceOutcome.ENDED, AttemptResult.CANCELLED);
    boolean wasPlacing = state == LifecycleState.PLACING;
    boolean wasRunning = state.isRunning() && !isCompleted;
    state = LifecycleState.ENDED;
    progress.stopExpectingProgress();
    if (wasRunning) {
      actions.add(new LifecycleAction.CloseAttempt(attempt.number()));
    }
    guard.stopRunning(attempt.number());
    if (wasPlacing) {
      actions.add(new LifecycleAction.Withdraw(attempt.placementId()));
    }
    attempt.reportEnd(result, Optional.empty()).ifPresent(actions::add);
    if (history.isClaimRecorded()) {
      actions.add(new LifecycleAction.SettleClaim(outcome));
    }
    kv.releaseExpired(nowMillis);
    actions.addAll(outstanding.cancelAll(nowMillis));
  }

  private void countDrop(DropReason reason) {
    actions.add(new LifecycleAction.CountDrop(reason));
  }
}
