package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptPhase;
import org.marjoramsail.core.placement.AttemptResult;
import org.marjoramsail.core.placement.Grant;

/**
 * Tracks the attempt of a request that is placed or sent now: its number, its placement, its grant.
 *
 * <p>When it makes no progress it can be set aside as a {@link SilentAttempt}, and become the
 * current one again.
 */
final class CurrentAttempt {

  private final RequestId request;
  private final QuarantineGuard guard;
  private final OutstandingAttempts outstanding;
  private final AttemptHistory history;
  private final RequestProgress progress;
  private final StreamOutput output;
  private final KvTransferState kv;
  private int number;
  private int highestNumber;
  private int abandonedCount;
  private RequestId placementId;
  private Optional<Grant> grant = Optional.empty();
  private boolean outputReceived;
  private boolean prefillSent;
  private boolean callSent;

  CurrentAttempt(
      RequestId request,
      QuarantineGuard guard,
      OutstandingAttempts outstanding,
      AttemptHistory history,
      RequestProgress progress,
      StreamOutput output,
      KvTransferState kv) {
    this.request = request;
    this.placementId = request;
    this.guard = guard;
    this.outstanding = outstanding;
    this.history = history;
    this.progress = progress;
    this.output = output;
    this.kv = kv;
  }

  /**
   * Starts the next attempt.
   *
   * @param silent the attempt that was set aside, if any; while it holds the identifier of the
   *     request at the owner, the next one is placed under an identifier of its own
   */
  void startNext(SilentAttempts silent) {
    highestNumber++;
    number = highestNumber;
    placementId = silent.isPlacedAs(request) ? request.forAttempt(number) : request;
    outputReceived = false;
    prefillSent = false;
    callSent = false;
  }

  /** Returns its number, from one; zero before the first attempt. */
  int number() {
    return number;
  }

  /** Returns whether the limits of the request allow another attempt. */
  boolean isAnotherAllowed(LifecyclePolicy policy) {
    return highestNumber - abandonedCount < policy.maximumAttempts()
        && history.sends() < policy.maximumSends();
  }

  /**
   * Records that an attempt was abandoned for a silent one; it does not count towards the limit.
   */
  void countAbandoned() {
    abandonedCount++;
  }

  /**
   * Returns the time without progress after which another attempt is requested. It doubles with
   * each abandoned one, so that a request whose alternatives are refused does not request them at a
   * constant rate.
   */
  long nextStallMillis(long stallMillis) {
    return stallMillis << abandonedCount;
  }

  /** Returns the identifier under which it is placed. */
  RequestId placementId() {
    return placementId;
  }

  Optional<Grant> grant() {
    return grant;
  }

  void granted(Grant newGrant) {
    grant = Optional.of(newGrant);
  }

  /**
   * Records that a call of this attempt is sent to an upstream.
   *
   * @param prefill whether it is a prefill, which another call follows
   */
  void callSent(boolean prefill) {
    callSent = true;
    prefillSent |= prefill;
  }

  boolean isOutputReceived() {
    return outputReceived;
  }

  void outputReceived() {
    outputReceived = true;
  }

  /** Returns the report of its progress to its owner. */
  LifecycleAction report(AttemptPhase phase, int cachedTokens, long tookMillis) {
    return history.progressReport(
        placementId, number, phase, cachedTokens, tookMillis, output.generatedTokens());
  }

  /**
   * Returns the report of its end to its owner; empty if it holds no grant. An attempt of which no
   * call was sent is withdrawn, so that its owner charges nothing for it.
   */
  Optional<LifecycleAction> reportEnd(AttemptResult result, Optional<UpstreamName> failedUpstream) {
    if (grant.isEmpty()) {
      return Optional.empty();
    }
    grant = Optional.empty();
    if (!callSent) {
      return history.endUnsent(placementId, number);
    }
    return history.endReport(
        placementId, number, result, failedUpstream, output.generatedTokens(), progress);
  }

  /** Records its failure; returns the actions that end it. */
  List<LifecycleAction> fail(UpstreamFailure failure, boolean prefill, long nowMillis) {
    UpstreamName upstream = guard.runningOn().orElseThrow();
    if (failure.mayBeCrash()) {
      guard.connectionLost(number, upstream, nowMillis);
    }
    guard.stopRunning(number);
    history.recordFailure(number, failure, prefill);
    if (failure == UpstreamFailure.CALLER_LEFT && (prefill || !prefillSent)) {
      callSent = false;
    }
    List<LifecycleAction> actions = new ArrayList<>();
    actions.add(new LifecycleAction.CloseAttempt(number));
    actions.addAll(outstanding.cancel(number, upstream, nowMillis));
    reportEnd(failure.attemptResult(), Optional.of(upstream)).ifPresent(actions::add);
    return actions;
  }

  /** Records that the upstream responded with a failure; returns the report of its end. */
  Optional<LifecycleAction> failureResponseReceived() {
    UpstreamName upstream = grant.orElseThrow().target();
    history.upstreamReached(false);
    outstanding.release(number, upstream);
    guard.stopRunning(number);
    kv.release();
    return reportEnd(AttemptResult.FAILED, Optional.of(upstream));
  }

  /** Detaches the attempt, which continues on its upstream, so that another one can start. */
  SilentAttempt setAside(LifecycleState state) {
    SilentAttempt silent =
        new SilentAttempt(
            number,
            placementId,
            state,
            grant.orElseThrow(),
            guard.setAside(),
            outputReceived,
            output.attemptVersion(),
            kv.detach(),
            progress.sentAtMillis());
    grant = Optional.empty();
    return silent;
  }

  /** Abandons the attempt in favour of one that was set aside; returns the actions that end it. */
  List<LifecycleAction> abandonFor(SilentAttempt resumed, LifecycleState state, long nowMillis) {
    if (number == resumed.number()) {
      // No other attempt has started since it was set aside.
      return List.of();
    }
    List<LifecycleAction> actions = new ArrayList<>();
    if (state == LifecycleState.PLACING) {
      actions.add(new LifecycleAction.Withdraw(placementId));
    } else if (state.isRunning()) {
      actions.add(new LifecycleAction.CloseAttempt(number));
    }
    actions.addAll(kv.cancel(nowMillis));
    actions.addAll(outstanding.cancel(number, nowMillis));
    guard.stopRunning(number);
    reportEnd(AttemptResult.CANCELLED, Optional.empty()).ifPresent(actions::add);
    return actions;
  }

  /** Makes an attempt that was set aside the current one again. */
  void resume(SilentAttempt silent) {
    number = silent.number();
    placementId = silent.placementId();
    grant = Optional.of(silent.grant());
    outputReceived = silent.outputReceived();
    prefillSent = silent.phase() != AttemptPhase.PREFILLING;
    callSent = true;
    guard.resume(silent.upstream());
    output.started(silent.version());
    kv.attach(silent.kv());
    progress.requestSent(silent.sentAtMillis());
    progress.attemptSent(silent.sentAtMillis());
  }
}
