package org.marjoramsail.core.outcome;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;

/** Refusals of a request; the lifecycle replaces their run state with its own. */
final class LifecycleRefusals {

  private LifecycleRefusals() {}

  static Refusal failedAfterSend() {
    return Refusal.notRun(
        RefusalReason.UPSTREAM_FAILED,
        "The upstream failed after the send; the request may run only once.");
  }

  static Refusal retriesExhausted(int attempt, RetryReason reason) {
    return Refusal.notRun(
        RefusalReason.RETRIES_EXHAUSTED,
        "Attempt " + attempt + " failed (" + reason.code() + ") and no retry is left.");
  }

  static Refusal failureResponse() {
    return Refusal.notRun(RefusalReason.UPSTREAM_FAILED, "The upstream responded with a failure.");
  }

  static Refusal invariantViolated() {
    return Refusal.notRun(
        RefusalReason.INTERNAL, "The request was not sent: an invariant did not hold.");
  }

  static Refusal deadlinePassed() {
    return Refusal.notRun(RefusalReason.DEADLINE_PASSED, "The deadline of the request has passed.");
  }
}
