package org.marjoramsail.core.placement;

import java.util.ArrayDeque;
import java.util.Deque;

/** The prompts that a decode upstream has read of late, beside the answers that it gave. */
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

  /** How long the longest took that ended after a moment; zero where none did. */
  double longestMillisAfter(long sinceMillis) {
    return prefills.stream()
        .filter(prefill -> prefill.endedAt() > sinceMillis)
        .mapToDouble(LocalPrefill::millis)
        .max()
        .orElse(0);
  }
}
