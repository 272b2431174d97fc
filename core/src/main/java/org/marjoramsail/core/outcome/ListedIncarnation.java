package org.marjoramsail.core.outcome;

/** How the listed incarnation of an upstream relates to the one that was listed before. */
public enum ListedIncarnation {
  /** It is the same, or the first one. */
  UNCHANGED,
  /** It is another one, whose start is later. */
  LATER_START,
  /**
   * It is another one, whose start is earlier: the clock of the upstream is wrong, or its entry was
   * written late.
   */
  EARLIER_START;

  static ListedIncarnation of(long startBeforeMillis, long startMillis) {
    if (startBeforeMillis == 0 || startBeforeMillis == startMillis) {
      return UNCHANGED;
    }
    return startMillis > startBeforeMillis ? LATER_START : EARLIER_START;
  }
}
