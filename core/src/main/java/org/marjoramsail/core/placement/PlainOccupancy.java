package org.marjoramsail.core.placement;

/**
 * How much longer a plain request holds its slot in the owner's books than its upstream works on
 * it.
 *
 * <p>Between a grant and its send, and between an answer and the report of it, lie messages and
 * busy entry hosts. An upstream stands idle meanwhile: with slots that were held for twice the time
 * of the answer, a service was given half of what it can serve, and requests waited for slots at
 * upstreams with nothing to do. So upstreams are granted as many more slots as that.
 */
final class PlainOccupancy {

  /** Upstreams queue some requests more than they work on; beyond that a guess gone wrong hurts. */
  private static final double MAXIMUM_FACTOR = 2;

  private final MovingAverage averageSlotMillis = new MovingAverage(1);
  private final MovingAverage averageWorkMillis = new MovingAverage(1);

  /**
   * Learns from one answer.
   *
   * @param slotMillis from its grant to the report of its end
   * @param workMillis from its send to its answer; not positive where that is not known
   */
  void learn(long slotMillis, long workMillis) {
    if (workMillis > 0 && slotMillis >= workMillis) {
      averageSlotMillis.observe((double) slotMillis);
      averageWorkMillis.observe((double) workMillis);
    }
  }

  /** How many requests may be granted for each that an upstream can work on; one or more. */
  double factor() {
    double factor = averageSlotMillis.value() / averageWorkMillis.value();
    return Math.max(1, Math.min(MAXIMUM_FACTOR, factor));
  }
}
