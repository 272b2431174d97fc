package org.marjoramsail.core.outcome;

import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RefusalReason;
import org.marjoramsail.core.failure.RetryReason;

/** Refusals after an attempt has failed; the lifecycle replaces their run state with its own. */
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
}
