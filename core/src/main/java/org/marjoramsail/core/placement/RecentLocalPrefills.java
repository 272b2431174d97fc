package org.marjoramsail.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** Prompts that a decode upstream recently prefilled concurrently with its generation. */
final class RecentLocalPrefills {

  private static final int MAXIMUM_ENTRIES = 32;

  private record LocalPrefill(long endedAt, double millis) {}

  private final Deque<LocalPrefill> prefills = new ArrayDeque<>();

  void add(double millis, long nowMillis) {
    prefills.addLast(new LocalPrefill(nowMillis, millis));
    if (prefills.size() > MAXIMUM_ENTRIES) {
      prefills.removeFirst();
    }
  }

  /**
   * Returns the duration of the longest prefill that ended after the given time; zero if there is
   * none.
   */
  double longestMillisAfter(long sinceMillis) {
    return prefills.stream()
        .filter(prefill -> prefill.endedAt() > sinceMillis)
        .mapToDouble(LocalPrefill::millis)
        .max()
        .orElse(0);
  }
}
