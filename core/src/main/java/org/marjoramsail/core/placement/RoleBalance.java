package org.marjoramsail.core.placement;

/**
 * Finds how many engines of a pool should read prompts, so that reading and generating keep up with
 * each other.
 *
 * <p>A pool serves as many requests as its slower side: with four engines that read nine prompts a
 * second each before six that end two answers a second each, two thirds of the reading is idle at
 * the peak while requests wait for memory on the other side.
 */
final class RoleBalance {

  /** A change takes an engine out for seconds, so it has to bring at least this much more. */
  private static final double MINIMUM_GAIN = 1.12;

  /**
   * An engine that generates is taken out only for more: the estimates of reading move with each
   * burst, and engines that go to and fro with them are out for half of the time.
   */
  private static final double MINIMUM_GAIN_OF_PREFILL = 1.6;

  private RoleBalance() {}

  /**
   * The best number of engines that read prompts.
   *
   * @param engines how many engines there are
   * @param reading how many read prompts now
   * @param rates what one engine does
   * @return {@code reading} where another number brings too little
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
   * What one engine does in a millisecond.
   *
   * @param reads prompts that a prefill engine reads
   * @param readsBeside prompts that a decode engine would read if it did nothing else; zero where
   *     decode engines read none
   * @param ends answers that a decode engine ends while it reads none
   */
  record Rates(double prefillRate, double localPrefillRate, double decodeRate) {

    /**
     * Requests that a pool serves in a millisecond.
     *
     * <p>What the prefill engines leave unread the decode engines read, and have the less time for
     * answers: with {@code x} served, each spends {@code (x - read) / readsBeside} of its time so.
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
