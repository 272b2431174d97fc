package org.marjoramsail.core.claim;

/**
 * Logical time of a segment, which its pages carry from one daemon to the next.
 *
 * <p>Clocks of different daemons are not comparable and may jump, and a claim that expires too
 * early would let a request run twice. So this time adds up only the time that a daemon has
 * observed, in bounded steps, and never runs ahead of real time. At worst, claims are kept too
 * long.
 */
final class SegmentTime {

  private static final long MAXIMUM_STEP_MILLIS = 1_000;

  private long segmentMillis;
  private long observedMillis;

  SegmentTime(long nowMillis) {
    this.observedMillis = nowMillis;
  }

  long millis() {
    return segmentMillis;
  }

  void observe(long nowMillis) {
    long step = nowMillis - observedMillis;
    segmentMillis += Math.max(0, Math.min(step, MAXIMUM_STEP_MILLIS));
    observedMillis = nowMillis;
  }

  void advanceTo(long recordedMillis) {
    segmentMillis = Math.max(segmentMillis, recordedMillis);
  }
}
