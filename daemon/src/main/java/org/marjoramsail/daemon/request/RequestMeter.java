package org.marjoramsail.daemon.request;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RetryReason;
import org.marjoramsail.core.outcome.DropReason;
import org.marjoramsail.core.outcome.LifecycleState;
import org.marjoramsail.core.outcome.RequestProfile;
import org.marjoramsail.core.outcome.SilenceOutcome;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.daemon.metrics.RequestMetrics;

/** Records the metrics of one request, among them whether it met the targets of its rule. */
final class RequestMeter {

  private final RequestMetrics metrics;
  private final Clock clock;
  private final RequestProfile profile;
  private final long perTokenTargetMillis;
  private int tokens;
  private long firstTokenAtMillis;
  private long lastTokenAtMillis;

  RequestMeter(
      RequestMetrics metrics, Clock clock, RequestProfile profile, long perTokenTargetMillis) {
    this.metrics = metrics;
    this.clock = clock;
    this.profile = profile;
    this.perTokenTargetMillis = perTokenTargetMillis;
  }

  void token() {
    long nowMillis = clock.millis();
    if (tokens == 0) {
      firstTokenAtMillis = nowMillis;
      metrics.firstToken(nowMillis - profile.receivedAtMillis());
    } else {
      metrics.subsequentToken(nowMillis - lastTokenAtMillis);
    }
    lastTokenAtMillis = nowMillis;
    tokens++;
  }

  void completed() {
    metrics.completed(profile, isWithinTargets());
  }

  void plainResponseReceived() {
    long nowMillis = clock.millis();
    metrics.plainResponse(nowMillis - profile.receivedAtMillis());
    metrics.completed(profile, nowMillis <= profile.firstTokenAtMillis());
  }

  void refused(Refusal refusal) {
    metrics.refused(profile, refusal);
    if (hasBegun()) {
      metrics.brokenOff(refusal);
    }
  }

  void failedInternally() {
    metrics.failedInternally();
  }

  /** Returns whether the caller was sent a part of the output. */
  boolean hasBegun() {
    return tokens > 0;
  }

  void silent(LifecycleState phase) {
    metrics.silent(phase);
  }

  void silenceEnded(SilenceOutcome outcome) {
    metrics.silenceEnded(outcome);
  }

  void retried(RetryReason reason, boolean fromBudget) {
    metrics.retried(reason, fromBudget);
  }

  void dropped(LifecycleState state) {
    metrics.dropped(state);
  }

  void dropped(DropReason reason) {
    metrics.dropped(reason);
  }

  private boolean isWithinTargets() {
    long generationMillis = lastTokenAtMillis - firstTokenAtMillis;
    return firstTokenAtMillis <= profile.firstTokenAtMillis()
        && generationMillis <= perTokenTargetMillis * Math.max(0, tokens - 1);
  }
}
