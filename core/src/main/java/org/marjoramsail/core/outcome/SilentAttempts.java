package org.marjoramsail.core.outcome;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.RequestId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.AttemptResult;

/**
 * Holds the attempt of one request that makes no progress, while another one is made.
 *
 * <p>Guards against an output that is ended although its upstream only paused: the attempt runs
 * until another one has given output. At most one is held at a time.
 */
final class SilentAttempts {

  /**
   * Maximum time, in milliseconds, for which two upstreams work on an output that has begun. Within
   * this time the second one responds if it rejects the request; a longer time would only hold
   * memory on both.
   */
  private static final long OVERLAP_MILLIS = 300;

  private static final long NEVER = Long.MAX_VALUE;

  private final QuarantineGuard guard;
  private final OutstandingAttempts outstanding;
  private final AttemptHistory history;
  private final KvTransferState kv;
  private Optional<SilentAttempt> held = Optional.empty();
  private long overlapUntilMillis = NEVER;

  SilentAttempts(
      QuarantineGuard guard,
      OutstandingAttempts outstanding,
      AttemptHistory history,
      KvTransferState kv) {
    this.guard = guard;
    this.outstanding = outstanding;
    this.history = history;
    this.kv = kv;
  }

  /** Holds an attempt; returns the report of its silence to its owner. */
  LifecycleAction hold(SilentAttempt silent, int outputTokens) {
    held = Optional.of(silent);
    overlapUntilMillis = NEVER;
    history.upstreamReached(false);
    return AttemptHistory.silenceReport(silent, outputTokens);
  }

  /**
   * Records that the request is sent to another upstream now.
   *
   * @param isContinued whether that one continues an output that has begun
   */
  void sentElsewhere(boolean isContinued, long nowMillis) {
    overlapUntilMillis = isContinued ? nowMillis + OVERLAP_MILLIS : NEVER;
  }

  /** Returns until when the held attempt may run while the current one is in a state. */
  long overlapUntilMillis(LifecycleState current) {
    return isPresent() && current == LifecycleState.GENERATING ? overlapUntilMillis : NEVER;
  }

  boolean isPresent() {
    return held.isPresent();
  }

  /** Returns whether the held attempt was placed under this identifier. */
  boolean isPlacedAs(RequestId placementId) {
    return held.filter(silent -> silent.placementId().equals(placementId)).isPresent();
  }

  boolean isOn(UpstreamName upstream) {
    return held.filter(silent -> silent.upstream().equals(upstream)).isPresent();
  }

  boolean isAttempt(int number) {
    return held.filter(silent -> silent.number() == number).isPresent();
  }

  /** Returns whether a whole response to the held attempt may still arrive. */
  boolean isAwaitingResponse(int number) {
    return isAttempt(number) && held.filter(SilentAttempt::isAwaitingResponse).isPresent();
  }

  boolean isPrefilling() {
    return held.filter(silent -> silent.state() == LifecycleState.PREFILLING).isPresent();
  }

  /** Stores the version of output of the held attempt; returns whether an event is its progress. */
  boolean recordProgress(LifecycleEvent event, RequestId request) {
    if (event instanceof LifecycleEvent.OutputStarted started && isAttempt(started.attempt())) {
      held = held.map(silent -> silent.withVersion(started.version()));
      return false;
    }
    if (event instanceof LifecycleEvent.TokenArrived token) {
      return token.request().equals(request) && isIn(LifecycleState.GENERATING, token.attempt());
    }
    if (event instanceof LifecycleEvent.StreamFinished end) {
      return end.request().equals(request) && isIn(LifecycleState.GENERATING, end.attempt());
    }
    if (event instanceof LifecycleEvent.Prefilled prefilled) {
      return isIn(LifecycleState.PREFILLING, prefilled.attempt());
    }
    return event instanceof LifecycleEvent.PlainResponseReceived response
        && isIn(LifecycleState.PLAIN_RUNNING, response.attempt());
  }

  private boolean isIn(LifecycleState state, int number) {
    return isAttempt(number) && held.filter(silent -> silent.state() == state).isPresent();
  }

  /** Removes and returns the held attempt. */
  SilentAttempt release() {
    SilentAttempt released = held.orElseThrow();
    held = Optional.empty();
    return released;
  }

  /** Ends the held attempt, which failed. */
  List<LifecycleAction> failed(
      UpstreamFailure failure, int outputTokens, RequestProgress progress, long nowMillis) {
    SilentAttempt failed = held.orElseThrow();
    if (failure.mayBeCrash()) {
      guard.connectionLost(failed.number(), failed.upstream(), nowMillis);
    }
    history.recordFailure(failed.number(), failure, failed.state() == LifecycleState.PREFILLING);
    return end(SilenceOutcome.FAILED, failure.attemptResult(), outputTokens, progress, nowMillis);
  }

  /** Ends the held attempt, if there is one. */
  List<LifecycleAction> end(
      SilenceOutcome outcome,
      AttemptResult result,
      int outputTokens,
      RequestProgress progress,
      long nowMillis) {
    if (held.isEmpty()) {
      return List.of();
    }
    SilentAttempt ended = release();
    List<LifecycleAction> actions = new ArrayList<>();
    actions.add(new LifecycleAction.CloseAttempt(ended.number()));
    actions.addAll(kv.cancel(ended.kv(), nowMillis));
    actions.addAll(outstanding.cancel(ended.number(), nowMillis));
    guard.stopSetAside(ended.number(), ended.upstream());
    history
        .endReport(
            ended.placementId(),
            ended.number(),
            result,
            Optional.of(ended.upstream()).filter(unused -> result.isUpstreamFault()),
            outputTokens,
            progress)
        .ifPresent(actions::add);
    actions.add(
        new LifecycleAction.RecordSilenceOutcome(ended.number(), ended.upstream(), outcome));
    return actions;
  }
}
