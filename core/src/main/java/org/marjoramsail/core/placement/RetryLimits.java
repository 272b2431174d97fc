package org.marjoramsail.core.placement;

/**
 * Retries that all daemons together may make for one service, in any window of time.
 *
 * @param ratio retries for each request in the window
 * @param slack retries in addition, for each window
 * @param windowMillis length of the window, in milliseconds
 */
public record RetryLimits(double ratio, double slack, long windowMillis) {

  private static final long WINDOW_MILLIS = 10_000;
  private static final double STANDARD_RATIO = 0.2;

  /** Half of it covers the requests that one upstream may lose at a quiet time. */
  private static final double STANDARD_SLACK = 80;

  /** Creates limits for windows of the usual length. */
  public RetryLimits(double ratio, double slack) {
    this(ratio, slack, WINDOW_MILLIS);
  }

  /** Returns the limits of a deployment whose settings give none. */
  public static RetryLimits standard() {
    return new RetryLimits(STANDARD_RATIO, STANDARD_SLACK);
  }
}
