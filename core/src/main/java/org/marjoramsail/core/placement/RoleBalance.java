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
  private static final double LEAST_GAIN = 1.12;

  /**
   * An engine that generates is taken out only for more. Times of reading are measured with their
   * queues and look too long after each burst; engines that went to and fro with that were out half
   * of the time. Engines that generate read prompts as well, if need be.
   */
  private static final double LEAST_GAIN_OF_READERS = 1.6;

  private RoleBalance() {}

  /**
   * The best number of engines that read prompts.
   *
   * @param engines how many engines there are
   * @param reading how many read prompts now
   * @param readsPerMilli prompts that one engine reads in a millisecond
   * @param endsPerMilli answers that one engine ends in a millisecond
   * @return {@code reading} where another number brings too little
   */
  static int bestReaders(int engines, int reading, double readsPerMilli, double endsPerMilli) {
    int best = reading;
    double now = rate(engines, reading, readsPerMilli, endsPerMilli);
    double bestRate = now;
    for (int readers = 1; readers < engines; readers++) {
      double rate = rate(engines, readers, readsPerMilli, endsPerMilli);
      double leastGain = readers > reading ? LEAST_GAIN_OF_READERS : LEAST_GAIN;
      if (rate > bestRate && rate >= now * leastGain) {
        best = readers;
        bestRate = rate;
      }
    }
    return best;
  }

  private static double rate(int engines, int readers, double readsPerMilli, double endsPerMilli) {
    return Math.min(readers * readsPerMilli, (engines - readers) * endsPerMilli);
  }
}
