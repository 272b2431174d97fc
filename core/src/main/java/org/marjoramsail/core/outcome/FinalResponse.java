package org.marjoramsail.core.outcome;

import java.util.Optional;
import java.util.OptionalInt;
import org.marjoramsail.core.failure.Refusal;
import org.marjoramsail.core.failure.RunState;

/**
 * What ends a request towards its caller, if the caller is still there.
 *
 * <p>An upstream's own answer that it had failed is kept while another upstream is tried. When no
 * better one comes it is sent to the caller in place of a refusal, which would say less.
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

  /** Whether an end was sent already. */
  boolean isSent() {
    return sent;
  }

  /** Marks that an end is sent; true for the first. */
  boolean markSent() {
    boolean first = !sent;
    sent = true;
    return first;
  }

  /** Keeps the answer of an attempt that its upstream says has failed. */
  void keepFailureResponse(int attempt) {
    failedAttempt = OptionalInt.of(attempt);
  }

  /** What the caller gets in place of a whole answer; nothing when it has left. */
  Optional<LifecycleAction> unsuccessfulEnd(Refusal refusal, RunState runState) {
    if (callerDisconnected) {
      return Optional.empty();
    }
    if (failedAttempt.isPresent()) {
      return Optional.of(new LifecycleAction.DeliverResponse(failedAttempt.getAsInt()));
    }
    return Optional.of(
        new LifecycleAction.Refuse(
            new Refusal(refusal.reason(), runState, refusal.detail(), refusal.retryAfterMillis())));
  }
}
