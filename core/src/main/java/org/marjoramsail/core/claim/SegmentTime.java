package org.marjoramsail.core.claim;

/**
 * A time that belongs to a segment and goes on from daemon to daemon in its pages.
 *
 * <p>Clocks of two daemons cannot be compared, and one may jump. A claim that is forgotten too
 * early would let a ballot run twice; so this time only counts what a daemon saw pass, in bounded
 * steps, and is never ahead of what has really passed. At worst claims are kept too long.
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
