package org.marjoramsail.core.outcome;

import java.util.Optional;
import java.util.OptionalInt;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RunState;

/**
 * Final response of a request, if its caller is still connected.
 *
 * <p>An upstream's own failure response is kept while another upstream is tried. If none succeeds,
 * the caller receives it in place of a refusal, which would have less detail.
 */
final class FinalResponse {

  private boolean callerDisconnected;
  private boolean sent;
  private OptionalInt failedAttempt = OptionalInt.empty();

  void callerDisconnected() {
    callerDisconnected = true;
  }

  boolean isCallerDisconnected() {
    return callerDisconnected;
  }

  /** Returns whether the final response was already sent. */
  boolean isSent() {
    return sent;
  }

  /** Marks the final response as sent; returns true for the first call. */
  boolean markSent() {
    boolean first = !sent;
    sent = true;
    return first;
  }

  /** Keeps the failure response that an upstream sent for an attempt. */
  void keepFailureResponse(int attempt) {
    failedAttempt = OptionalInt.of(attempt);
  }

  /**
   * Returns the end of a request without a successful response; empty when the caller has
   * disconnected. A failure response cannot follow a part of the output of another attempt.
   */
  Optional<LifecycleAction> unsuccessfulEnd(
      Refusal refusal, RunState runState, boolean outputBegun) {
    if (callerDisconnected) {
      return Optional.empty();
    }
    if (failedAttempt.isPresent() && !outputBegun) {
      return Optional.of(new LifecycleAction.DeliverResponse(failedAttempt.getAsInt()));
    }
    return Optional.of(
        new LifecycleAction.Refuse(
            new Refusal(refusal.reason(), runState, refusal.detail(), refusal.retryAfterMillis())));
  }
}
