package org.marjoramsail.standin.load;

import java.util.HashMap;
import java.util.Map;

/** Which parts of a run were recently disturbed, by name. Not thread-safe. */
public final class Disturbances {

  private final long settleMillis;
  private final Map<String, Integer> active = new HashMap<>();
  private final Map<String, Long> lastEnds = new HashMap<>();

  /**
   * Creates an instance without disturbances.
   *
   * @param settleMillis time after the end of a disturbance for which its part still counts as
   *     disturbed
   */
  public Disturbances(long settleMillis) {
    this.settleMillis = settleMillis;
  }

  /** Records that a disturbance begins; several of one part may overlap. */
  public void begin(String part) {
    active.merge(part, 1, Integer::sum);
  }

  /** Records that a disturbance ends. */
  public void end(String part, long nowMillis) {
    active.merge(part, -1, Integer::sum);
    lastEnds.merge(part, nowMillis, Math::max);
  }

  /** Returns whether a part has been without disturbance for the time to settle. */
  public boolean isCalm(String part, long nowMillis) {
    boolean isOver = active.getOrDefault(part, 0) == 0;
    Long lastEnd = lastEnds.get(part);
    return isOver && (lastEnd == null || nowMillis - lastEnd >= settleMillis);
  }
}
