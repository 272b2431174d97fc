package org.marjoramsail.core.routing;

import java.util.OptionalLong;
import org.marjoramsail.core.outcome.LifecyclePolicy;

/** Works out from a route how long its requests may wait and how often they may be sent. */
public final class ForwardingRules {

  /** Attempts that reach no upstream do not count as sends; they end here. */
  private static final int UNSENT_ATTEMPTS = 4;

  private static final long BACK_OFF_MILLIS = 5;
  private static final long BACK_OFF_LIMIT_MILLIS = 100;
  private static final long CANCEL_REPEAT_MILLIS = 100;
  private static final long CANCEL_REPEAT_LIMIT_MILLIS = 400;

  /** Nothing is held for a request longer than that: KV caches lapse sooner. */
  private static final long CANCEL_GIVE_UP_MILLIS = 1_500;

  /** How much of a KV cache's life has to remain for a send that fetches it, in milliseconds. */
  private static final long KV_MARGIN_MILLIS = 80;

  private static final long PREFILL_STALL_MILLIS = 600;

  /**
   * How long a stream that may go on elsewhere may be silent. Preempted streams pause for some
   * hundred milliseconds and go on by themselves; callers leave after about two seconds.
   */
  private static final long EVENT_STALL_MILLIS = 1_200;

  /** A plain answer that takes this share of its target is looked for elsewhere. */
  private static final double RESPONSE_STALL_SHARE = 0.7;

  /** Callers leave a silent stream after at least that long, in milliseconds. */
  private static final long MINIMUM_CALLER_TIMEOUT_MILLIS = 2_000;

  private static final int CALLER_TIMEOUT_TARGETS = 4;
  private static final int CALLER_TIMEOUT_GAP_TARGETS = 8;

  /** A place that is found this shortly before callers leave is of no use, in milliseconds. */
  private static final long CALLER_TIMEOUT_MARGIN_MILLIS = 500;

  /** What lies between a place and the first byte at the caller, in milliseconds. */
  private static final long STREAM_MARGIN_MILLIS = 130;

  private static final double PLAIN_MARGIN_SHARE = 0.3;
  private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

  private ForwardingRules() {}

  /**
   * Bounds of the tries and waits of one request.
   *
   * @param overdueMillis after how long a plain answer is overdue by what its service takes of late
   */
  public static LifecyclePolicy policyOf(Route route, long overdueMillis) {
    return new LifecyclePolicy(
        route.maximumSends() + UNSENT_ATTEMPTS,
        BACK_OFF_MILLIS,
        BACK_OFF_LIMIT_MILLIS,
        CANCEL_REPEAT_MILLIS,
        CANCEL_REPEAT_LIMIT_MILLIS,
        CANCEL_GIVE_UP_MILLIS,
        KV_MARGIN_MILLIS,
        PREFILL_STALL_MILLIS,
        EVENT_STALL_MILLIS,
        Math.max(1, route.maximumSends()),
        Math.max(
            Math.max(1, overdueMillis), Math.round(route.targetMillis() * RESPONSE_STALL_SHARE)),
        callerTimeoutMillis(route));
  }

  /** When a request has to have its last answer: the caller's time or the route's, if sooner. */
  public static long deadlineAtMillis(
      Route route, long receivedAtMillis, OptionalLong withinMillis) {
    return receivedAtMillis + Math.min(route.timeoutMillis(), withinMillis.orElse(NEVER_MILLIS));
  }

  /** Until when a place has to be found for the answer to be in time. */
  public static long targetAtMillis(Route route, long receivedAtMillis) {
    long marginMillis =
        route.streaming()
            ? STREAM_MARGIN_MILLIS
            : Math.round(route.targetMillis() * PLAIN_MARGIN_SHARE);
    return receivedAtMillis + Math.max(1, route.targetMillis() - marginMillis);
  }

  private static long callerTimeoutMillis(Route route) {
    if (!route.streaming()) {
      return NEVER_MILLIS;
    }
    long targetTimeoutMillis = CALLER_TIMEOUT_TARGETS * route.targetMillis();
    long gapTimeoutMillis = CALLER_TIMEOUT_GAP_TARGETS * route.gapTargetMillis();
    return Math.max(MINIMUM_CALLER_TIMEOUT_MILLIS, Math.max(targetTimeoutMillis, gapTimeoutMillis))
        - CALLER_TIMEOUT_MARGIN_MILLIS;
  }
}
