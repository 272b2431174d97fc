package org.marjoramsail.core.placement;

/**
 * Estimates how much longer a plain request holds its slot than its upstream works on it.
 *
 * <p>Messages and busy entry hosts take time between a grant and its send, and between a response
 * and its report. The upstream is idle meanwhile although its slot is held, so more slots are
 * granted to compensate.
 */
final class PlainOccupancy {

  /** Bounds the extra slots, since a wrong estimate would overload the queues of the upstreams. */
  private static final double MAXIMUM_FACTOR = 2;

  private final MovingAverage averageSlotMillis = new MovingAverage(1);
  private final MovingAverage averageWorkMillis = new MovingAverage(1);

  /**
   * Updates the estimate from one response.
   *
   * @param slotMillis time from the grant to the report of the end
   * @param workMillis time from the send to the response; not positive if unknown
   */
  void learn(long slotMillis, long workMillis) {
    if (workMillis > 0 && slotMillis >= workMillis) {
      averageSlotMillis.observe((double) slotMillis);
      averageWorkMillis.observe((double) workMillis);
    }
  }

  /** Returns the number of requests to grant for each slot of an upstream; one or more. */
  double factor() {
    double factor = averageSlotMillis.value() / averageWorkMillis.value();
    return Math.max(1, Math.min(MAXIMUM_FACTOR, factor));
  }
}
