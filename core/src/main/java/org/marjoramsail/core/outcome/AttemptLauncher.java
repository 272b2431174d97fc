package org.marjoramsail.core.outcome;

import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.Grant;

/** Sends the attempts of one request, and sets how long each may take to make progress. */
final class AttemptLauncher {

  /**
   * Multiple of the estimated time of a prefill or transfer that may pass, in addition to the stall
   * time, before the attempt makes no progress for too long.
   */
  private static final int STALL_ESTIMATE_FACTOR = 4;

  private final LifecyclePolicy policy;
  private final QuarantineGuard guard;
  private final OutstandingAttempts outstanding;
  private final AttemptHistory history;
  private final RequestProgress progress;
  private final StreamOutput output;
  private final KvTransferState kv;

  AttemptLauncher(
      LifecyclePolicy policy,
      QuarantineGuard guard,
      OutstandingAttempts outstanding,
      AttemptHistory history,
      RequestProgress progress,
      StreamOutput output,
      KvTransferState kv) {
    this.policy = policy;
    this.guard = guard;
    this.outstanding = outstanding;
    this.history = history;
    this.progress = progress;
    this.output = output;
    this.kv = kv;
  }

  /** Records the start of a prefill; returns the action that sends it. */
  LifecycleAction sendPrefill(Grant grant, long nowMillis) {
    UpstreamName upstream = grant.prefill().orElseThrow();
    progress.expectProgressUntil(
        nowMillis
            + STALL_ESTIMATE_FACTOR * grant.expectedPrefillMillis()
            + policy.prefillStallMillis());
    progress.attemptSent(nowMillis);
    outstanding.add(grant.attempt(), upstream);
    guard.prefillStarted(grant.attempt(), upstream);
    return new LifecycleAction.SendPrefill(grant.attempt(), upstream);
  }

  /** Records the start of the generation of output; returns the action that sends it. */
  LifecycleAction sendDecode(Grant grant, long nowMillis) {
    output.attemptStarted();
    progress.attemptStarted();
    long estimateMillis = grant.expectedPrefillMillis() + grant.expectedTransferMillis();
    progress.expectWithin(
        STALL_ESTIMATE_FACTOR * estimateMillis + policy.tokenStallMillis(), nowMillis);
    progress.attemptSent(nowMillis);
    history.recordSend(grant.attempt());
    outstanding.add(grant.attempt(), grant.target());
    guard.started(grant.attempt(), grant.target());
    return new LifecycleAction.SendDecode(
        grant.attempt(), grant.target(), output.tokens(), output.requiredVersion(), kv.source());
  }

  /** Records the start of a request to a plain service; returns the action that sends it. */
  LifecycleAction sendPlain(Grant grant, long nowMillis) {
    progress.expectWithin(policy.responseStallMillis(), nowMillis);
    progress.requestSent(nowMillis);
    progress.attemptSent(nowMillis);
    history.recordSend(grant.attempt());
    guard.started(grant.attempt(), grant.target());
    return new LifecycleAction.SendPlain(grant.attempt(), grant.target());
  }
}
