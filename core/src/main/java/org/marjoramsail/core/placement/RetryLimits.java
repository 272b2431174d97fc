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

  /** Creates limits for windows of the usual length. */
  public RetryLimits(double ratio, double slack) {
    this(ratio, slack, WINDOW_MILLIS);
  }

  /** Returns the limits of a deployment whose settings give none. */
  public static RetryLimits standard() {
    return new RetryLimits(0.2, 80);
  }
}
