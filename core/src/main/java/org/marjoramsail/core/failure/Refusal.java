package org.marjoramsail.core.failure;

import java.util.Optional;

/**
 * A truthful end without an answer.
 *
 * @param reason why
 * @param runState whether the request was run
 * @param detail a sentence that names the field, the value and what is allowed, where one applies
 * @param retryAfterMillis when to come back, in milliseconds from now
 */
public record Refusal(
    RefusalReason reason, RunState runState, String detail, Optional<Long> retryAfterMillis) {

  /** A request that was proven not to have run. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, RunState.NOT_RUN, detail, Optional.empty());
  }

  /** A request that was proven not to have run, with the time after which it may succeed. */
  public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
    return new Refusal(reason, RunState.NOT_RUN, detail, Optional.of(retryAfterMillis));
  }

  /** The same refusal with another time after which the request may succeed. */
  public Refusal retryingAfter(long millis) {
    return new Refusal(reason, runState, detail, Optional.of(millis));
  }

  /** The same refusal of a request of which nothing is proven, since it repeats another's key. */
  public Refusal withUnknownRunState() {
    return new Refusal(reason, RunState.UNKNOWN, detail, retryAfterMillis);
  }

  /** A request that may have run. */
  public static Refusal unknown(RefusalReason reason, String detail) {
    return new Refusal(reason, RunState.UNKNOWN, detail, Optional.empty());
  }
}
