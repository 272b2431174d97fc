package org.marjoramsail.core.placement;

/**
 * Time-outs and intervals of the messages between entry daemons and owners, in milliseconds.
 *
 * @param holdingsMillis the interval at which an entry daemon repeats its holdings to an owner with
 *     which an attempt waits
 * @param idleHoldingsMillis the same interval where all attempts are granted
 * @param responseTimeoutMillis the time without a response after which an entry daemon turns to the
 *     next owner in rank
 * @param skipMillis the time for which an unresponsive owner is skipped
 * @param expiryMillis the time for which an owner keeps an attempt that its entry daemon does not
 *     report
 */
public record PlacementTimings(
    long holdingsMillis,
    long idleHoldingsMillis,
    long responseTimeoutMillis,
    long skipMillis,
    long expiryMillis) {

  /**
   * Returns the timings of a deployment, with which the failure of an owner is detected within 0.9
   * s.
   */
  public static PlacementTimings standard() {
    return new PlacementTimings(500, 1_000, 400, 2_000, 3_500);
  }
}
