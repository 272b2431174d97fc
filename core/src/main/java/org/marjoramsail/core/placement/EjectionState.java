package org.marjoramsail.core.placement;

/** Tracks the failures of one upstream, its ejections and its slow start after them. */
final class EjectionState {

  private static final int CONSECUTIVE_FAILURES = 5;
  private static final int WINDOW_RESULTS = 20;
  private static final double FAILURE_RATIO = 0.5;

  /**
   * Limits the ejection time, so that an upstream that recovered after some seconds is not excluded
   * for a minute. One that still fails costs few requests, since it starts slowly.
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

  /** Returns whether the upstream was ejected and has not succeeded since. */
  boolean isAwaitingSuccess() {
    return awaitingSuccess;
  }

  /** Returns whether the last response succeeded and came at {@code sinceMillis} or later. */
  boolean isServingSince(long sinceMillis) {
    return consecutiveFailures == 0 && succeededAt >= sinceMillis;
  }

  /** Returns whether the upstream has failed repeatedly without a success in between. */
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

  /** Counts a failure and returns whether the upstream should be ejected now. */
  boolean failed() {
    consecutiveFailures++;
    count(1);
    boolean isOften =
        windowResults >= WINDOW_RESULTS / 2 && windowFailures >= windowResults * FAILURE_RATIO;
    return consecutiveFailures >= CONSECUTIVE_FAILURES || isOften;
  }

  /**
   * Ejects the upstream, with a time that doubles up to a limit with each ejection; it starts
   * slowly afterwards.
   */
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

  /** Returns the share of its slots that the upstream may use, from a tenth to one. */
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
