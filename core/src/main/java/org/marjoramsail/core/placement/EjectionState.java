package org.marjoramsail.core.placement;

/** Whether one upstream fails too often to get work, and how slowly it gets work again. */
final class EjectionState {

  private static final int CONSECUTIVE_FAILURES = 5;
  private static final int WINDOW_RESULTS = 20;
  private static final double FAILURE_RATIO = 0.5;
  private static final int LARGEST_DOUBLING = 6;
  private static final double FIRST_SHARE = 0.1;
  private static final long NEVER = Long.MIN_VALUE / 2;

  private final PlacementSettings settings;
  private int consecutive;
  private int results;
  private int failures;
  private int ejections;
  private long ejectedUntil = NEVER;
  private long slowSince = NEVER;

  EjectionState(PlacementSettings settings) {
    this.settings = settings;
  }

  boolean isEjected(long nowMillis) {
    return nowMillis < ejectedUntil;
  }

  void succeeded() {
    consecutive = 0;
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

  /** Takes the upstream out, for twice as long as the last time; then it starts slowly. */
  void eject(long nowMillis) {
    long outMillis = settings.ejectionMillis() << Math.min(ejections, LARGEST_DOUBLING);
    ejections++;
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
