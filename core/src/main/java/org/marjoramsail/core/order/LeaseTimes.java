package org.marjoramsail.core.order;

/**
 * Durations of a lease, in milliseconds.
 *
 * @param durationMillis how long other daemons wait before they acquire a lease that is not renewed
 * @param actingMillis how long the holder acts after the start of a renewal; shorter than the
 *     lease, so that the rates of clocks may differ
 * @param renewalMillis interval at which the holder renews the lease
 * @param retryMillis delay between a failed call and the next
 */
public record LeaseTimes(
    long durationMillis, long actingMillis, long renewalMillis, long retryMillis) {

  /** Returns times that need few calls of the store; clock rates may differ by a tenth. */
  public static LeaseTimes standard() {
    return new LeaseTimes(LeaseKeeper.DURATION_MILLIS, LeaseKeeper.ACTING_MILLIS, 20_000, 2_000);
  }

  /** Returns times for a lease that another daemon can acquire within seconds. */
  public static LeaseTimes quick() {
    return new LeaseTimes(12_000, 8_000, 4_000, 1_000);
  }

  /**
   * Returns these times, scaled so that the duration of a lease has at least the given value.
   *
   * @param minimumMillis minimum duration of a lease, in milliseconds
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
