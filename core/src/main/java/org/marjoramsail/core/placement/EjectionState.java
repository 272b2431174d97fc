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
  private static final int LARGEST_DOUBLING = 2;

  private static final double FIRST_SHARE = 0.1;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlacementSettings settings;
  private int consecutive;
  private int results;
  private int failures;
  private int ejections;
  private long ejectedUntil = NEVER;
  private long slowSince = NEVER;
  private long succeededAt = NEVER;
  private boolean unproven;

  EjectionState(PlacementSettings settings) {
    this.settings = settings;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntil;
  }

  /** Whether it was ejected and has not answered well since. */
  boolean isUnproven() {
    return unproven;
  }

  /** Whether its last answer was a good one, and came after {@code sinceMillis}. */
  boolean isServingSince(long sinceMillis) {
    return consecutive == 0 && succeededAt >= sinceMillis;
  }

  /** Whether it fails every time, not only often. */
  boolean isFailingAlways() {
    return consecutive >= CONSECUTIVE_FAILURES;
  }

  void succeeded(long nowMillis) {
    consecutive = 0;
    succeededAt = nowMillis;
    unproven = false;
    count(0);
    if (results == 0 && failures == 0) {
      ejections = Math.max(0, ejections - 1);
    }
  }

  /** Counts a failure; true when the upstream should be ejected now. */
  boolean failed() {
    consecutive++;
    count(1);
    boolean isOften = results >= WINDOW_RESULTS / 2 && failures >= results * FAILURE_RATIO;
    return consecutive >= CONSECUTIVE_FAILURES || isOften;
  }

  /** Ejects the upstream for twice as long as the last time; then it starts slowly. */
  void eject(long nowMillis) {
    long outMillis = settings.ejectionMillis() << Math.min(ejections, LARGEST_DOUBLING);
    ejections++;
    unproven = true;
    ejectedUntil = nowMillis + outMillis;
    consecutive = 0;
    results = 0;
    failures = 0;
    startSlowly(ejectedUntil);
  }

  void startSlowly(long fromMillis) {
    slowSince = Math.max(slowSince, fromMillis);
  }

  /** The share of its slots that it gets, from a tenth to one. */
  double share(long nowMillis) {
    long sinceMillis = nowMillis - slowSince;
    if (sinceMillis >= settings.slowStartMillis()) {
      return 1;
    }
    double grown = Math.max(0, sinceMillis) / (double) settings.slowStartMillis();
    return FIRST_SHARE + (1 - FIRST_SHARE) * grown;
  }

  private void count(int failed) {
    results++;
    failures += failed;
    if (results >= WINDOW_RESULTS) {
      results = 0;
      failures = 0;
    }
  }
}
