package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
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
import org.marjoramsail.core.placement.PlacementRequest;

/**
 * Decides everything about one request, from its arrival to its one end.
 *
 * <p>It takes events with their time and gives actions for the shell, in order. A prefill is
 * harmless to repeat; the send to a decode upstream or a plain service is the run. Calls must not
 * overlap; the clock that calls quote may jump forward, and a reading that falls back is ignored.
 */
public final class RequestLifecycle {

  private static final int ESTIMATE_FACTOR = 4;
  private static final long UNSETTLED_RECHECK_MILLIS = 100;

  private final RequestProfile profile;
  private final LifecyclePolicy policy;
  private final RetryBudget budget;
  private final Invariants invariants;

  private final OutstandingAttempts outstanding;
  private final QuarantineGuard quarantineGuard;
  private final KvTransferState kv;
  private final AttemptHistory history;
  private final BackOff backOff;
  private final FinalResponse finalResponse = new FinalResponse();
  private final RequestProgress progress;
  private final Set<UpstreamName> avoid = new LinkedHashSet<>();
  private List<LifecycleAction> actions = new ArrayList<>();

  private LifecycleState state = LifecycleState.RECEIVED;
  private long nowMillis;
  private int attempt;
  private int nextIndex;
  private boolean frameSeen;
  private long waitUntilMillis;
  private Optional<Grant> grant = Optional.empty();

  /**
   * Creates an instance with the request and what it shares with others.
   *
   * @param profile the request
   * @param policy bounds of tries and waits
   * @param budget the retries of its service
   * @param quarantine contents that crash upstreams
   * @param invariants what to do when the program itself is at fault
   * @param random for the jitter of back-off
   */
  public RequestLifecycle(
      RequestProfile profile,
      LifecyclePolicy policy,
      RetryBudget budget,
      Quarantine quarantine,
      Invariants invariants,
      RandomGenerator random) {
    this.profile = profile;
    this.policy = policy;
    this.budget = budget;
    this.invariants = invariants;
    this.outstanding =
        new OutstandingAttempts(
            policy, (ended, upstream) -> quarantine.released(upstream, profile.id(), ended));
    this.quarantineGuard = new QuarantineGuard(profile, policy, quarantine, outstanding);
    this.kv = new KvTransferState(policy, outstanding);
    this.history = new AttemptHistory(profile, invariants);
    this.backOff = new BackOff(policy, random);
    this.nowMillis = profile.receivedAtMillis();
    this.progress = new RequestProgress(profile.receivedAtMillis());
  }

  /** The request. */
  public RequestProfile profile() {
    return profile;
  }

  /** Where the request is. */
  public LifecycleState state() {
    return state;
  }

  /** The current attempt, from one; zero before the first. */
  public int attempt() {
    return attempt;
  }

  /** How many tokens the caller has been given. */
  public int emittedTokens() {
    return nextIndex;
  }

  /** The upstreams of the current attempt. */
  public Optional<Grant> grant() {
    return grant;
  }

  /** Whether it has ended and no upstream can hold anything of it. */
  public boolean isSettled() {
    return state == LifecycleState.ENDED && outstanding.isEmpty();
  }

  /** When the next {@link LifecycleEvent.TimePassed} is due. */
  public Optional<Long> nextWakeMillis() {
    long backOffEnds = state == LifecycleState.BACKING_OFF ? waitUntilMillis : Long.MAX_VALUE;
    Stream<Long> own =
        state == LifecycleState.ENDED
            ? Stream.empty()
            : Stream.of(profile.deadlineAtMillis(), progress.stallAtMillis(), backOffEnds);
    return Stream.concat(own, outstanding.nextRepeatAtMillis().stream()).min(Long::compare);
  }

  /**
   * Handles one event.
   *
   * @param event what happened
   * @param atMillis when, on the clock of this daemon
   * @return what the shell has to do, in order
   */
  public List<LifecycleAction> handle(LifecycleEvent event, long atMillis) {
    nowMillis = Math.max(nowMillis, atMillis);
    actions = new ArrayList<>();
    LifecycleDispatch.dispatch(this, event);
    return actions;
  }

  void started() {
    if (state != LifecycleState.RECEIVED) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    budget.earn();
    if (quarantineGuard.isQuarantined(nowMillis)) {
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
      drop(DropReason.LATE_EVENT);
    }
  }

  void claimRefused(Refusal refusal) {
    if (state != LifecycleState.CLAIMING) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    // The claim may speak of a run by another daemon, so its run state stands.
    end(AttemptResult.CANCELLED, ClaimOutcome.NOT_RUN);
    answer(new LifecycleAction.Refuse(refusal));
  }

  private void tryToPlace() {
    Suspicion suspicion = quarantineGuard.suspicion(nowMillis);
    if (suspicion == Suspicion.QUARANTINED) {
      refuseQuarantined();
      return;
    }
    if (suspicion == Suspicion.UNSETTLED
        || quarantineGuard.isWaitingForCancels(suspicion, nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
      return;
    }
    attempt++;
    frameSeen = false;
    state = LifecycleState.PLACING;
    actions.add(new LifecycleAction.Place(placementRequest(suspicion == Suspicion.SUSPECT)));
  }

  private PlacementRequest placementRequest(boolean alone) {
    // A place is of use until the deadline, or until the caller has waited too long for a sign.
    long usefulUntilMillis =
        Math.min(
            profile.deadlineAtMillis(), progress.callerWaitsUntilMillis(policy.patienceMillis()));
    return new PlacementRequestBuilder(
            profile, attempt, generatedTokens(), usefulUntilMillis, kv.usable(nowMillis))
        .build(
            nowMillis, alone ? quarantineGuard.upstreamsToAvoid(avoid) : List.copyOf(avoid), alone);
  }

  void granted(Grant given) {
    if (state != LifecycleState.PLACING || given.attempt() != attempt) {
      drop(DropReason.LATE_GRANT);
      return;
    }
    grant = Optional.of(given);
    if (quarantineGuard.isQuarantined(nowMillis)) {
      state = LifecycleState.BACKING_OFF;
      refuseQuarantined();
    } else if (quarantineGuard.wouldShareUpstreamWithSuspect(given, nowMillis)) {
      placeLater();
    } else if (given.mode() == GrantMode.PLAIN) {
      sendPlain(given);
    } else if (given.mode() == GrantMode.LOCAL_PREFILL) {
      actions.addAll(kv.cancel(nowMillis));
      sendDecode(given);
    } else if (kv.isUsableOn(given.prefill(), nowMillis)) {
      sendDecode(given);
    } else {
      actions.addAll(kv.cancel(nowMillis));
      sendPrefill(given);
    }
  }

  /** Gives up an attempt that was not sent to where it runs, and asks for another place soon. */
  private void placeLater() {
    reportEnd(AttemptResult.CANCELLED, Optional.empty());
    state = LifecycleState.BACKING_OFF;
    progress.stopExpectingProgress();
    waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
  }

  private void sendPrefill(Grant given) {
    UpstreamName upstream = given.prefill().orElseThrow();
    state = LifecycleState.PREFILLING;
    progress.expectProgressUntil(
        nowMillis + ESTIMATE_FACTOR * given.expectedPrefillMillis() + policy.prefillStallMillis());
    outstanding.add(attempt, upstream);
    quarantineGuard.started(attempt, upstream);
    actions.add(new LifecycleAction.SendPrefill(attempt, upstream));
  }

  private void sendDecode(Grant given) {
    if (quarantineGuard.isQuarantined(nowMillis)) {
      refuseQuarantined();
      return;
    }
    if (quarantineGuard.wouldShareUpstreamWithSuspect(given, nowMillis)) {
      placeLater();
      return;
    }
    if (!history.maySend()) {
      refuseFault();
      return;
    }
    state = LifecycleState.GENERATING;
    progress.attemptStarted();
    long estimateMillis = given.expectedPrefillMillis() + given.expectedTransferMillis();
    stallAfter(ESTIMATE_FACTOR * estimateMillis + policy.tokenStallMillis());
    history.recordSend(attempt);
    outstanding.add(attempt, given.target());
    quarantineGuard.started(attempt, given.target());
    actions.add(new LifecycleAction.SendDecode(attempt, given.target(), nextIndex, kv.source()));
  }

  private void sendPlain(Grant given) {
    if (!history.maySend()) {
      refuseFault();
      return;
    }
    state = LifecycleState.PLAIN_RUNNING;
    stallAfter(policy.answerStallMillis());
    progress.requestSent(nowMillis);
    history.recordSend(attempt);
    quarantineGuard.started(attempt, given.target());
    actions.add(new LifecycleAction.SendPlain(attempt, given.target()));
  }

  private void refuseFault() {
    refuse(RefusalReason.INTERNAL, "The request was not sent: an invariant did not hold.");
  }

  void placementRefused(LifecycleEvent.PlacementRefused refused) {
    if (state != LifecycleState.PLACING || refused.attempt() != attempt) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    state = LifecycleState.BACKING_OFF;
    if (refused.refusal().reason() == RefusalReason.NO_UPSTREAM
        && quarantineGuard.isAvoidingSuspects(avoid, nowMillis)) {
      waitUntilMillis = nowMillis + UNSETTLED_RECHECK_MILLIS;
    } else {
      refuse(refused.refusal());
    }
  }

  void prefilled(LifecycleEvent.Prefilled event) {
    if (state != LifecycleState.PREFILLING || event.attempt() != attempt) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    Grant current = grant.orElseThrow();
    UpstreamName holder = current.prefill().orElseThrow();
    quarantineGuard.stopRunning(attempt);
    quarantineGuard.released(attempt, holder);
    kv.store(
        new KvSource(
            holder,
            attempt,
            event.handle(),
            event.promptTokens(),
            nowMillis + event.lifetimeMillis()));
    report(AttemptPhase.PREFILLED, event.cachedTokens(), event.tookMillis());
    sendDecode(current);
  }

  void tokenArrived(LifecycleEvent.TokenArrived token) {
    if (!token.request().equals(profile.id())) {
      drop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || token.attempt() != attempt) {
      drop(DropReason.LATE_FRAME);
    } else if (token.index() < nextIndex) {
      drop(DropReason.REPEATED_FRAME);
    } else if (token.index() > nextIndex) {
      failCurrent(UpstreamFailure.MALFORMED);
    } else {
      firstFrame();
      emit(token);
    }
  }

  private void emit(LifecycleEvent.TokenArrived token) {
    invariants.check(token.index() == nextIndex, Invariant.TOKENS_IN_ORDER, profile.id());
    invariants.check(!finalResponse.isSent(), Invariant.SILENT_AFTER_END, profile.id());
    nextIndex++;
    progress.chunkSent(nowMillis);
    stallAfter(policy.tokenStallMillis());
    actions.add(new LifecycleAction.EmitToken(token.index(), token.text()));
  }

  /** The first frame proves that the decode upstream has imported the KV cache. */
  private void firstFrame() {
    if (frameSeen) {
      return;
    }
    frameSeen = true;
    quarantineGuard.outputReceived(attempt);
    kv.release();
    report(AttemptPhase.GENERATING, 0, 0);
  }

  void streamFinished(LifecycleEvent.StreamFinished finished) {
    if (!finished.request().equals(profile.id())) {
      drop(DropReason.CROSSED_FRAME);
    } else if (state != LifecycleState.GENERATING || finished.attempt() != attempt) {
      drop(DropReason.LATE_FRAME);
    } else if (finished.index() != nextIndex) {
      failCurrent(UpstreamFailure.MALFORMED);
    } else {
      firstFrame();
      outstanding.release(attempt, grant.orElseThrow().target());
      answer(
          new LifecycleAction.Complete(
              new Completion(
                  finished.finishReason(),
                  finished.promptTokens(),
                  finished.cachedTokens(),
                  nextIndex)));
      quarantineGuard.completed(nowMillis);
      end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
    }
  }

  void plainResponseReceived(LifecycleEvent.PlainResponseReceived answered) {
    if (state != LifecycleState.PLAIN_RUNNING || answered.attempt() != attempt) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    progress.responseReceived(nowMillis);
    if (!finalResponse.isCallerDisconnected()) {
      answer(new LifecycleAction.DeliverResponse(attempt));
    }
    quarantineGuard.completed(nowMillis);
    end(AttemptResult.COMPLETED, ClaimOutcome.COMPLETED);
  }

  /** Retries a request that may run again, and keeps the failure response in case none succeeds. */
  void failureAnswered(LifecycleEvent.FailureResponseReceived failed) {
    boolean awaited =
        state == LifecycleState.PLAIN_RUNNING || (state == LifecycleState.GENERATING && !frameSeen);
    if (!awaited || failed.attempt() != attempt) {
      drop(DropReason.LATE_EVENT);
      return;
    }
    UpstreamName upstream = grant.orElseThrow().target();
    history.upstreamReached();
    outstanding.release(attempt, upstream);
    quarantineGuard.stopRunning(attempt);
    kv.release();
    finalResponse.keepFailureResponse(attempt);
    reportEnd(AttemptResult.FAILED, Optional.of(upstream));
    if (!profile.repeatability().isResendable() || !mayTryAgain() || !budget.trySpend()) {
      state = LifecycleState.BACKING_OFF;
      refuse(RefusalReason.UPSTREAM_FAILED, "The upstream answered that it had failed.");
      return;
    }
    avoid.add(upstream);
    actions.add(new LifecycleAction.CountRetry(RetryReason.UPSTREAM_ERROR));
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
    if (isCurrent && quarantineGuard.isRunningOn(failed.upstream())) {
      failCurrent(failed.failure());
    } else {
      drop(DropReason.LATE_EVENT);
    }
  }

  void cancelConfirmed(LifecycleEvent.CancelConfirmed confirmed) {
    outstanding.release(confirmed.attempt(), confirmed.upstream());
  }

  void upstreamRestarted(UpstreamName upstream) {
    outstanding.releaseAll(upstream);
    kv.holderRestarted(upstream);
    if (state.isRunning() && quarantineGuard.isRunningOn(upstream)) {
      failCurrent(UpstreamFailure.CUT);
    }
  }

  /** Ends the current attempt with a failure, and tries again where that is allowed. */
  private void failCurrent(UpstreamFailure failure) {
    UpstreamName upstream = quarantineGuard.runningOn().orElseThrow();
    boolean prefillFailed = state == LifecycleState.PREFILLING;
    if (failure.isCrashSign()) {
      quarantineGuard.connectionLost(attempt, upstream, nowMillis);
    }
    quarantineGuard.stopRunning(attempt);
    if (failure.isNotRun()) {
      history.markNotRun(attempt);
    }
    if (failure.isNeverSent()) {
      history.undoSend(prefillFailed);
    } else {
      history.upstreamReached();
    }
    actions.add(new LifecycleAction.CloseAttempt(attempt));
    actions.addAll(outstanding.cancel(attempt, upstream, nowMillis));
    reportEnd(failure.attemptResult(), Optional.of(upstream));
    if (failure == UpstreamFailure.KV_EXPIRED) {
      kv.release();
    } else {
      avoid.add(upstream);
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
    boolean free = reason == RetryReason.UPSTREAM_LEAVING || !history.hasReachedUpstream();
    if (!mayTryAgain() || !(free || budget.trySpend())) {
      refuse(
          RefusalReason.RETRIES_EXHAUSTED,
          "Attempt " + attempt + " failed (" + reason.code() + ") and no retry is left.");
      return;
    }
    actions.add(new LifecycleAction.CountRetry(reason));
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
      failCurrent(UpstreamFailure.TIMED_OUT);
    }
  }

  private void refuseQuarantined() {
    refuse(RefusalReason.QUARANTINED, quarantineGuard.refusalDetail());
  }

  private void refuse(RefusalReason reason, String detail) {
    refuse(Refusal.notRun(reason, detail));
  }

  /** Refuses with the run state that is known here, whatever the refusal itself says of one. */
  private void refuse(Refusal refusal) {
    finalResponse.unsuccessfulEnd(refusal, history.runState()).ifPresent(this::answer);
    end(AttemptResult.CANCELLED, history.outcomeWithoutResponse());
  }

  private void answer(LifecycleAction action) {
    if (invariants.check(finalResponse.markSent(), Invariant.SILENT_AFTER_END, profile.id())) {
      actions.add(action);
    }
  }

  private void end(AttemptResult result, ClaimOutcome outcome) {
    boolean waiting = state == LifecycleState.PLACING;
    boolean cut = state.isRunning() && outcome != ClaimOutcome.COMPLETED;
    state = LifecycleState.ENDED;
    progress.stopExpectingProgress();
    if (cut) {
      actions.add(new LifecycleAction.CloseAttempt(attempt));
    }
    quarantineGuard.stopRunning(attempt);
    if (waiting) {
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
        history.progressReport(attempt, phase, cachedTokens, tookMillis, generatedTokens()));
  }

  private void reportEnd(AttemptResult result, Optional<UpstreamName> failedUpstream) {
    if (grant.isPresent()) {
      grant = Optional.empty();
      history
          .endReport(attempt, result, failedUpstream, generatedTokens(), progress)
          .ifPresent(actions::add);
    }
  }

  /** Silence ends an attempt only where another may follow; else it is no reason to end sooner. */
  private void stallAfter(long millis) {
    progress.stopExpectingProgress();
    if (profile.repeatability().isResendable()) {
      progress.expectProgressUntil(nowMillis + millis);
    }
  }

  private int generatedTokens() {
    return nextIndex * profile.chunking().tokens();
  }

  private void drop(DropReason reason) {
    actions.add(new LifecycleAction.CountDrop(reason));
  }
}
