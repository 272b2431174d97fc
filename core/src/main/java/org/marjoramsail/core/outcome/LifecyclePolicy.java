package org.marjoramsail.core.outcome;

/**
 * Bounds of one request's tries and waits.
 *
 * @param maximumAttempts how many attempts one request makes at most
 * @param backOffMillis the longest wait before the first retry; doubles with each
 * @param backOffLimitMillis the longest wait before any retry
 * @param cancelRepeatMillis wait before an unconfirmed cancel is repeated; doubles with each
 * @param cancelRepeatLimitMillis the longest such wait
 * @param cancelGiveUpMillis after how long an unconfirmed cancel is given up and counted
 * @param kvMarginMillis how much of a KV cache's life must remain for it to be worth placing again
 * @param prefillStallMillis how long beyond four times its estimate a prefill may stay silent
 * @param tokenStallMillis how long a stream may stay silent
 * @param maximumSends how many upstreams one request is sent to at most, prefills left out
 * @param responseStallMillis how long a plain answer to a request that may be repeated may take
 *     before another upstream is tried
 * @param callerPatienceMillis how long a caller waits without a sign before it leaves
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

  /** Bounds of requests that may be sent often and whose callers wait for as long as it takes. */
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

  /** The bounds that daemons use where their settings say nothing else. */
  public static LifecyclePolicy defaults() {
    return new LifecyclePolicy(6, 40, 1_000, 100, 2_000, 600_000, 150, 5_000, 5_000);
  }
}
