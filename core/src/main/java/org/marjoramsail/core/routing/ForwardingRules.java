package org.marjoramsail.core.routing;

import java.util.OptionalLong;
import org.marjoramsail.core.outcome.LifecyclePolicy;

/** Derives the retry limits, timeouts and deadlines of a request from its route. */
public final class ForwardingRules {

  /** Additional attempts for those that reach no upstream and so do not count as sends. */
  private static final int UNSENT_ATTEMPTS = 4;

  private static final long BACK_OFF_MILLIS = 5;
  private static final long BACK_OFF_LIMIT_MILLIS = 100;
  private static final long CANCEL_REPEAT_MILLIS = 100;
  private static final long CANCEL_REPEAT_LIMIT_MILLIS = 400;

  /**
   * Time after which a cancellation is no longer repeated. By then, upstreams hold nothing for the
   * request, since KV caches expire earlier.
   */
  private static final long CANCEL_GIVE_UP_MILLIS = 1_500;

  /** Minimum remaining lifetime of a KV cache for a send that fetches it, in milliseconds. */
  private static final long KV_MARGIN_MILLIS = 80;

  private static final long PREFILL_STALL_MILLIS = 600;

  /**
   * Minimum time, in milliseconds, without an event after which a stream is also requested from
   * another upstream, if that is allowed. It exceeds the pause of a preempted stream, which resumes
   * by itself.
   */
  private static final long MINIMUM_EVENT_STALL_MILLIS = 1_200;

  /** Time, in milliseconds, in which a stream can be placed again, prefilled and give output. */
  private static final long CONTINUATION_MILLIS = 1_300;

  /** Share of its target after which a plain response is requested from another upstream. */
  private static final double RESPONSE_STALL_SHARE = 0.7;

  /** Minimum time without an event after which callers disconnect, in milliseconds. */
  private static final long MINIMUM_CALLER_TIMEOUT_MILLIS = 2_000;

  private static final int CALLER_TIMEOUT_TARGETS = 4;
  private static final int CALLER_TIMEOUT_GAP_TARGETS = 8;

  /**
   * Margin before the expected disconnection of the caller, in milliseconds. A slot that is granted
   * within it would be of no use.
   */
  private static final long CALLER_TIMEOUT_MARGIN_MILLIS = 500;

  /** Time between the grant of a slot and the first byte at the caller, in milliseconds. */
  private static final long STREAM_MARGIN_MILLIS = 130;

  private static final double PLAIN_MARGIN_SHARE = 0.3;

  /** Number of timeouts of a route within which a stream begins and its callers last resume it. */
  private static final int STREAM_LIFETIME_TIMEOUTS = 2;

  private static final long NEVER_MILLIS = Long.MAX_VALUE / 4;

  private ForwardingRules() {}

  /**
   * Returns the limits on the attempts and timeouts of one request.
   *
   * @param overdueMillis time after which a plain response is overdue, judged by the recent
   *     response times of its service
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
        eventStallMillis(route),
        Math.max(1, route.maximumSends()),
        Math.max(
            Math.max(1, overdueMillis), Math.round(route.targetMillis() * RESPONSE_STALL_SHARE)),
        callerTimeoutMillis(route));
  }

  /** Returns the deadline of a request: the caller's time limit or the route's, if sooner. */
  public static long deadlineAtMillis(
      Route route, long receivedAtMillis, OptionalLong withinMillis) {
    return receivedAtMillis + Math.min(route.timeoutMillis(), withinMillis.orElse(NEVER_MILLIS));
  }

  /** Returns the latest time at which a slot may be granted for the route's target to be met. */
  public static long targetAtMillis(Route route, long receivedAtMillis) {
    long marginMillis =
        route.streaming()
            ? STREAM_MARGIN_MILLIS
            : Math.round(route.targetMillis() * PLAIN_MARGIN_SHARE);
    return receivedAtMillis + Math.max(1, route.targetMillis() - marginMillis);
  }

  /** Returns the time after the first event of a stream in which its caller may resume it. */
  public static long streamLifetimeMillis(Route route) {
    return STREAM_LIFETIME_TIMEOUTS * route.timeoutMillis();
  }

  /**
   * Returns the time without an event after which a stream is also requested from another upstream.
   *
   * <p>An upstream that pauses resumes by itself, and each request to another one spends retry
   * budget. The time is therefore the longest that lets another upstream give output before the
   * caller disconnects.
   */
  private static long eventStallMillis(Route route) {
    return route.streaming()
        ? Math.max(MINIMUM_EVENT_STALL_MILLIS, callerTimeoutMillis(route) - CONTINUATION_MILLIS)
        : MINIMUM_EVENT_STALL_MILLIS;
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
