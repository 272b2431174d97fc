package org.marjoramsail.core.failure;

import java.util.Optional;

/**
 * The end of a request without a response from an upstream, as it is reported to the caller.
 *
 * @param reason the reason
 * @param runState what is known of whether the request ran
 * @param detail a sentence that names the field, the value and what is allowed, where one applies
 * @param retryAfterMillis the time after which a retry may succeed, in milliseconds from now
 */
public record Refusal(
    RefusalReason reason, RunState runState, String detail, Optional<Long> retryAfterMillis) {

  /** Returns the refusal of a request that is proven not to have run. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, RunState.NOT_RUN, detail, Optional.empty());
  }

  /**
   * Returns the refusal of a request that is proven not to have run, with the time after which a
   * retry may succeed.
   */
  public static Refusal notRun(RefusalReason reason, String detail, long retryAfterMillis) {
    return new Refusal(reason, RunState.NOT_RUN, detail, Optional.of(retryAfterMillis));
  }

  /** Returns this refusal with another time after which a retry may succeed. */
  public Refusal retryingAfter(long millis) {
    return new Refusal(reason, runState, detail, Optional.of(millis));
  }

  /**
   * Returns this refusal with an unknown run state, for a request that repeats the key of another
   * whose run state is not known.
   */
  public Refusal withUnknownRunState() {
    return new Refusal(reason, RunState.UNKNOWN, detail, retryAfterMillis);
  }

  /** Returns the refusal of a request that may have run. */
  public static Refusal unknown(RefusalReason reason, String detail) {
    return new Refusal(reason, RunState.UNKNOWN, detail, Optional.empty());
  }
}
