package org.marjoramsail.core.placement;

/** Whether one upstream fails too often to get work, and how slowly it gets work again. */
final class EjectionState {

  private static final int CONSECUTIVE_FAILURES = 5;
  private static final int WINDOW_RESULTS = 20;
  private static final double FAILURE_RATIO = 0.5;

  /**
   * An upstream that is back after an outage of some seconds is not left out for a minute. One that
   * is still away costs one request at each return, since it starts slowly.
   */
  private static final int MAXIMUM_DOUBLINGS = 2;

  private static final double INITIAL_SHARE = 0.1;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlacementSettings settings;
  private int consecutiveFailures;
  private int windowResults;
  private int windowFailures;
  private int recentEjections;
  private long ejectedUntil = NEVER;
  private long slowStartAt = NEVER;
  private long succeededAt = NEVER;
  private boolean awaitingSuccess;

  EjectionState(PlacementSettings settings) {
    this.settings = settings;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntil;
  }

  /** Whether it was ejected and has not answered well since. */
  boolean isAwaitingSuccess() {
    return awaitingSuccess;
  }

  /** Whether its last answer was a good one, and came after {@code sinceMillis}. */
  boolean isServingSince(long sinceMillis) {
    return consecutiveFailures == 0 && succeededAt >= sinceMillis;
  }

  /** Whether it fails every time, not only often. */
  boolean isAlwaysFailing() {
    return consecutiveFailures >= CONSECUTIVE_FAILURES;
  }

  void succeeded(long nowMillis) {
    consecutiveFailures = 0;
    succeededAt = nowMillis;
    awaitingSuccess = false;
    count(0);
    if (windowResults == 0 && windowFailures == 0) {
      recentEjections = Math.max(0, recentEjections - 1);
    }
  }

  /** Counts a failure; true when the upstream should be ejected now. */
  boolean failed() {
    consecutiveFailures++;
    count(1);
    boolean isOften = windowResults >= WINDOW_RESULTS / 2 && windowFailures >= windowResults * FAILURE_RATIO;
    return consecutiveFailures >= CONSECUTIVE_FAILURES || isOften;
  }

  /** Ejects the upstream for twice as long as the last time; then it starts slowly. */
  void eject(long nowMillis) {
    long outMillis = settings.ejectionMillis() << Math.min(recentEjections, MAXIMUM_DOUBLINGS);
    recentEjections++;
    awaitingSuccess = true;
    ejectedUntil = nowMillis + outMillis;
    consecutiveFailures = 0;
    windowResults = 0;
    windowFailures = 0;
    startSlowly(ejectedUntil);
  }

  void startSlowly(long fromMillis) {
    slowStartAt = Math.max(slowStartAt, fromMillis);
  }

  /** The share of its slots that it gets, from a tenth to one. */
  double share(long nowMillis) {
    long sinceMillis = nowMillis - slowStartAt;
    if (sinceMillis >= settings.slowStartMillis()) {
      return 1;
    }
    double elapsedShare = Math.max(0, sinceMillis) / (double) settings.slowStartMillis();
    return INITIAL_SHARE + (1 - INITIAL_SHARE) * elapsedShare;
  }

  private void count(int failed) {
    windowResults++;
    windowFailures += failed;
    if (windowResults >= WINDOW_RESULTS) {
      windowResults = 0;
      windowFailures = 0;
    }
  }
}
