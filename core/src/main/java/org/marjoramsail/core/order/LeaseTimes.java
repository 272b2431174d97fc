package org.marjoramsail.core.order;

/**
 * How long a lease is held and waited out, in milliseconds.
 *
 * @param durationMillis how long a lease that is not renewed is waited out by others
 * @param actingMillis how long the holder acts after it began a renewal; shorter than the lease, so
 *     that clocks may differ in their rates
 * @param renewalMillis how often the holder renews it
 * @param retryMillis how long after a failed call the next is made
 */
public record LeaseTimes(
    long durationMillis, long actingMillis, long renewalMillis, long retryMillis) {

  /** Times that cost few calls of the store; clocks may differ by a tenth in their rates. */
  public static LeaseTimes standard() {
    return new LeaseTimes(LeaseKeeper.DURATION_MILLIS, LeaseKeeper.ACTING_MILLIS, 20_000, 2_000);
  }

  /** Times for a lease that another daemon takes over within some seconds. */
  public static LeaseTimes quick() {
    return new LeaseTimes(12_000, 8_000, 4_000, 1_000);
  }

  /**
   * The same times, stretched so that a lease is waited out for at least so long.
   *
   * @param minimumMillis how long one holder has to be alone, in milliseconds
   */
  public LeaseTimes withDurationAtLeast(double minimumMillis) {
    double factor = Math.max(1, minimumMillis / durationMillis);
    return new LeaseTimes(
        (long) Math.ceil(durationMillis * factor),
        (long) (actingMillis * factor),
        (long) (renewalMillis * factor),
        retryMillis);
  }
}
