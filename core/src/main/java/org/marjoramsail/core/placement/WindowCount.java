package org.marjoramsail.core.placement;

/** Count of events in a sliding window, kept in slots of equal length. */
final class WindowCount {

  private static final int SLOTS = 50;

  private final long slotMillis;

  /** One slot more than the window has, for the one that is only partly within it. */
  private final long[] counts = new long[SLOTS + 1];

  private long currentSlot = Long.MIN_VALUE;
  private long sum;

  WindowCount(long windowMillis) {
    this.slotMillis = Math.max(1, windowMillis / SLOTS);
  }

  void add(long count, long nowMillis) {
    advance(nowMillis);
    counts[index(currentSlot)] += count;
    sum += count;
  }

  /** Removes events that were added at a time; no effect once they have left the window. */
  void remove(long count, long addedAtMillis, long nowMillis) {
    advance(nowMillis);
    long slot = Math.floorDiv(addedAtMillis, slotMillis);
    if (currentSlot - slot < counts.length) {
      counts[index(slot)] -= count;
      sum -= count;
    }
  }

  /** Returns the count, including events that left the window within the length of one slot. */
  long sum(long nowMillis) {
    advance(nowMillis);
    return sum;
  }

  /** Returns the count without events that are about to leave the window. */
  long completeSum(long nowMillis) {
    advance(nowMillis);
    return sum - counts[index(currentSlot + 1)];
  }

  private void advance(long nowMillis) {
    long slot = Math.floorDiv(nowMillis, slotMillis);
    if (currentSlot == Long.MIN_VALUE) {
      currentSlot = slot;
    }
    long steps = Math.min(counts.length, slot - currentSlot);
    for (long step = 1; step <= steps; step++) {
      int expired = index(slot - steps + step);
      sum -= counts[expired];
      counts[expired] = 0;
    }
    currentSlot = Math.max(currentSlot, slot);
  }

  private int index(long slot) {
    return (int) Math.floorMod(slot, (long) counts.length);
  }
}
