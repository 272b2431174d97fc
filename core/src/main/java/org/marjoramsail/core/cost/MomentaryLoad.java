package org.marjoramsail.core.cost;

import org.marjoramsail.core.feedback.StatedLoad;

/**
 * Present slowdown of one incarnation of an upstream and the requests of others on it, as it stated
 * them last. Both decay quickly, since they change several times a second.
 */
public final class MomentaryLoad {

  /** Slowdown of an upstream that works as usual. */
  public static final int USUAL_PERCENT = 100;

  /** Largest slowdown that is plausible. */
  private static final int MAXIMUM_PERCENT = 2_000;

  /** Largest number of requests that is plausible. */
  private static final int MAXIMUM_REQUESTS = 100_000;

  /** Time within which the expected slowdown halves without a new statement. */
  private static final double HALF_LIFE_MILLIS = 300;

  /** Half-lives after which a statement has no effect. */
  private static final double RELEVANT_HALF_LIVES = 8;

  /** Slowdown from which an upstream counts as slowed down. */
  private static final double SIGNIFICANT_SLOWDOWN = 1.15;

  private static final long NEVER = Long.MIN_VALUE / 2;

  private long statedAt = NEVER;
  private double slowdown = 1;
  private int others;

  /** Creates the load of an upstream that has stated none. */
  public MomentaryLoad() {}

  /**
   * Applies a statement; one that is older than the last has no effect.
   *
   * @param ageMillis time since the upstream made it
   * @param granted requests of this owner that the statement may include
   * @return whether it is valid; an invalid one has no effect
   */
  public boolean accept(StatedLoad load, long ageMillis, int granted, long nowMillis) {
    int percent = load.slowdownPercent().orElse(USUAL_PERCENT);
    boolean isValid =
        ageMillis >= 0
            && percent > 0
            && percent <= MAXIMUM_PERCENT
            && isPlausible(load.running())
            && isPlausible(load.waiting());
    if (isValid && nowMillis - ageMillis >= statedAt) {
      statedAt = nowMillis - ageMillis;
      slowdown = Math.max(1, percent / (double) USUAL_PERCENT);
      others = Math.max(0, load.running() + load.waiting() - granted);
    }
    return isValid;
  }

  private static boolean isPlausible(int requests) {
    return requests >= 0 && requests <= MAXIMUM_REQUESTS;
  }

  /** Returns the ratio of the present to the usual time of work. */
  public double slowdown(long nowMillis) {
    return slowdown <= 1 ? 1 : 1 + (slowdown - 1) * remaining(nowMillis);
  }

  /** Returns whether work takes clearly longer than usual now. */
  public boolean isSlowedDown(long nowMillis) {
    return slowdown(nowMillis) > SIGNIFICANT_SLOWDOWN;
  }

  /**
   * Returns the delay of work by the slowdown, which is expected to decay meanwhile.
   *
   * @param workMillis the time that the work takes as usual
   */
  public double delayMillis(double workMillis, long nowMillis) {
    double excess = slowdown(nowMillis) - 1;
    if (excess <= 0) {
      return 0;
    }
    double lifetimeMillis = HALF_LIFE_MILLIS / Math.log(2);
    return excess * lifetimeMillis * (1 - Math.exp(-workMillis / lifetimeMillis));
  }

  /** Returns the expected number of requests of others that run or wait now. */
  public double otherRequests(long nowMillis) {
    return others == 0 ? 0 : others * remaining(nowMillis);
  }

  private double remaining(long nowMillis) {
    double halfLives = Math.max(0, nowMillis - statedAt) / HALF_LIFE_MILLIS;
    return halfLives > RELEVANT_HALF_LIVES ? 0 : Math.pow(0.5, halfLives);
  }
}
