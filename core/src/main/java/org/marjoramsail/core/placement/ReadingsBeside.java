package org.marjoramsail.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** The prompts that a decode upstream has read of late, beside the answers that it gave. */
final class ReadingsBeside {

  private static final int REMEMBERED = 32;

  private record Reading(long endedAt, double millis) {}

  private final Deque<Reading> readings = new ArrayDeque<>();

  void ended(double millis, long nowMillis) {
    readings.addLast(new Reading(nowMillis, millis));
    if (readings.size() > REMEMBERED) {
      readings.removeFirst();
    }
  }

  /** How long the longest took that ended after a moment; zero where none did. */
  double longestAfter(long sinceMillis) {
    return readings.stream()
        .filter(reading -> reading.endedAt() > sinceMillis)
        .mapToDouble(Reading::millis)
        .max()
        .orElse(0);
  }
}
