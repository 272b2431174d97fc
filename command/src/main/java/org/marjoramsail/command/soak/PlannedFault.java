package org.marjoramsail.command.soak;

import java.util.Locale;

/**
 * One fault of a plan; times are in milliseconds after the start of the run.
 *
 * @param kind what happens
 * @param target to whom
 * @param atMillis when it begins
 * @param untilMillis when it ends
 */
public record PlannedFault(SoakFault kind, FaultTarget target, long atMillis, long untilMillis) {

  /** How long it lasts. */
  long millis() {
    return untilMillis - atMillis;
  }

  /** Whether it lasts at some moment between the two, both included. */
  boolean overlaps(long fromMillis, long toMillis) {
    return atMillis <= toMillis && untilMillis >= fromMillis;
  }

  @Override
  public String toString() {
    return String.format(
        Locale.ROOT, "%s %s %d-%d ms", kind.code(), target.name(), atMillis, untilMillis);
  }
}
