package org.marjoramsail.core.cost;

/**
 * Recent share of failed attempts of one incarnation of an upstream. It decays with time, so that
 * an upstream that is avoided gets a few requests again, which show whether it still fails.
 */
public final class FailureShare {

  private static final double HALF_LIFE_MILLIS = 5_000;

  /** Weight of the assumption that an upstream does not fail, in attempts. */
  private static final double INITIAL_WEIGHT = 4;

  /** Standard errors that are attributed to chance. */
  private static final double CHANCE_ERRORS = 2;

  private double attempts;
  private double failures;
  private long atMillis;

  /** Creates the share of an upstream without attempts. */
  public FailureShare() {}

  /** Records the end of an attempt. */
  public void ended(boolean failed, long nowMillis) {
    if (nowMillis > atMillis) {
      double retained = retained(nowMillis);
      attempts *= retained;
      failures *= retained;
      atMillis = nowMillis;
    }
    attempts++;
    failures += failed ? 1 : 0;
  }

  /** Returns the recent share of failed attempts. */
  public double share(long nowMillis) {
    if (failures == 0) {
      return 0;
    }
    double retained = retained(nowMillis);
    return failures * retained / (attempts * retained + INITIAL_WEIGHT);
  }

  /** Returns the part of the share that exceeds the one of the service beyond chance. */
  public double excess(double serviceShare, long nowMillis) {
    double share = share(nowMillis);
    if (share <= serviceShare) {
      return 0;
    }
    double weight = attempts * retained(nowMillis) + INITIAL_WEIGHT;
    double chance = CHANCE_ERRORS * Math.sqrt(share * (1 - share) / weight);
    return Math.max(0, share - serviceShare - chance);
  }

  private double retained(long nowMillis) {
    return Math.pow(0.5, Math.max(0, nowMillis - atMillis) / HALF_LIFE_MILLIS);
  }
}
