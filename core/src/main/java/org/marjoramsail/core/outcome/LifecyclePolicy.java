package org.marjoramsail.core.outcome;

/**
 * Limits on the attempts and waiting times of one request.
 *
 * @param maximumAttempts maximum number of attempts
 * @param backOffMillis longest wait before the first retry; doubles with each retry
 * @param backOffLimitMillis longest wait before any retry
 * @param cancelRepeatMillis wait before an unconfirmed cancel is repeated; doubles with each repeat
 * @param cancelRepeatLimitMillis longest wait before any repeated cancel
 * @param cancelGiveUpMillis time after which an unconfirmed cancel is abandoned and counted
 * @param kvMarginMillis remaining lifetime that a KV cache needs to be used by another attempt
 * @param prefillStallMillis time without progress of a prefill, beyond four times its estimate,
 *     after which it counts as stalled
 * @param tokenStallMillis time without progress of a stream after which it counts as stalled
 * @param maximumSends maximum number of upstreams that one request is sent to, not counting
 *     prefills
 * @param responseStallMillis time to wait for a plain response before another upstream is tried, if
 *     the request may be repeated
 * @param callerPatienceMillis time without progress after which a caller disconnects
 */
public record LifecyclePolicy(
    int maximumAttempts,
    long backOffMillis,
    long backOffLimitMillis,
    long cancelRepeatMillis,
    long cancelRepeatLimitMillis,
    long cancelGiveUpMillis,
    long kvMarginMillis,
    long prefillStallMillis,
    long tokenStallMillis,
    int maximumSends,
    long responseStallMillis,
    long callerPatienceMillis) {

  private static final long UNLIMITED_MILLIS = Long.MAX_VALUE / 4;

  /** Creates limits without a bound on sends, plain responses or the patience of callers. */
  public LifecyclePolicy(
      int maximumAttempts,
      long backOffMillis,
      long backOffLimitMillis,
      long cancelRepeatMillis,
      long cancelRepeatLimitMillis,
      long cancelGiveUpMillis,
      long kvMarginMillis,
      long prefillStallMillis,
      long tokenStallMillis) {
    this(
        maximumAttempts,
        backOffMillis,
        backOffLimitMillis,
        cancelRepeatMillis,
        cancelRepeatLimitMillis,
        cancelGiveUpMillis,
        kvMarginMillis,
        prefillStallMillis,
        tokenStallMillis,
        maximumAttempts,
        UNLIMITED_MILLIS,
        UNLIMITED_MILLIS);
  }

  /** Returns the time without progress after which an attempt in this state counts as stalled. */
  long stallMillis(LifecycleState state) {
    return switch (state) {
      case PREFILLING -> prefillStallMillis;
      case PLAIN_RUNNING -> responseStallMillis;
      default -> tokenStallMillis;
    };
  }

  /** Returns the limits that daemons use unless their settings differ. */
  public static LifecyclePolicy defaults() {
    return new LifecyclePolicy(6, 40, 1_000, 100, 2_000, 600_000, 150, 5_000, 5_000);
  }
}
