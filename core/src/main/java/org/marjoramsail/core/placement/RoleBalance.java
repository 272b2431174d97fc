package org.marjoramsail.core.placement;

/**
 * Computes the number of engines of a pool that should prefill, so that neither prefill nor decode
 * limits the throughput alone.
 *
 * <p>The throughput of a pool is that of its slower side, so an excess of engines on one side is
 * idle while requests wait for the other.
 */
final class RoleBalance {

  /**
   * The minimum ratio of new to current throughput for a change, since an engine is unavailable for
   * seconds while its role changes.
   */
  private static final double MINIMUM_GAIN = 1.12;

  /**
   * The minimum ratio for more prefill engines. It is higher because the estimates of prefill times
   * vary with each burst, and engines must not change back and forth with them.
   */
  private static final double MINIMUM_GAIN_OF_PREFILL = 1.6;

  private RoleBalance() {}

  /**
   * Returns the best number of prefill engines.
   *
   * @param engines the number of engines
   * @param prefillCount the current number of prefill engines
   * @param rates the throughput of one engine
   * @return {@code prefillCount} where another number gains too little
   */
  static int bestPrefillCount(int engines, int prefillCount, Rates rates) {
    int best = prefillCount;
    double currentRate = rates.ofPool(engines, prefillCount);
    double bestRate = currentRate;
    for (int candidate = 1; candidate < engines; candidate++) {
      double rate = rates.ofPool(engines, candidate);
      double minimumGain = candidate > prefillCount ? MINIMUM_GAIN_OF_PREFILL : MINIMUM_GAIN;
      if (rate > bestRate && rate >= currentRate * minimumGain) {
        best = candidate;
        bestRate = rate;
      }
    }
    return best;
  }

  /**
   * Throughput of one engine, per millisecond.
   *
   * @param prefillRate the prompts that a prefill engine prefills
   * @param localPrefillRate the prompts that a decode engine would prefill if it did nothing else;
   *     zero where there is no local prefill
   * @param decodeRate the outputs that a decode engine completes while it prefills nothing
   */
  record Rates(double prefillRate, double localPrefillRate, double decodeRate) {

    /**
     * Returns the requests that a pool serves in a millisecond.
     *
     * <p>Prompts beyond the capacity of the prefill engines are prefilled by the decode engines,
     * which then have less time to decode: to serve {@code x} requests they spend {@code (x -
     * prefilled) / localPrefillRate} engine milliseconds on prefill.
     */
    double ofPool(int engines, int prefillCount) {
      double prefilled = prefillCount * prefillRate;
      double decoded = (engines - prefillCount) * decodeRate;
      return prefilled >= decoded
          ? decoded
          : (decoded * localPrefillRate + decodeRate * prefilled) / (localPrefillRate + decodeRate);
    }
  }
}
