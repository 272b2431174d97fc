package org.marjoramsail.core.claim;

/**
 * Limits and intervals of claims, which must be equal on all daemons.
 *
 * @param segments number of segments that the keys are distributed over; a change requires an empty
 *     store
 * @param slots maximum number of pages of a segment
 * @param pageEntries number of entries at which a page is sealed
 * @param maximumBatch maximum number of claims, and of outcomes, in one write
 * @param maximumWaiting maximum number of claims, and of outcomes, queued in a segment
 * @param writeIntervalMillis minimum time between the starts of two writes of a segment
 * @param settleWithinMillis how long an outcome waits to be written together with a claim
 * @param retryMillis how long to wait after a failed call of the object API
 * @param resendMillis how long a claimant waits before it sends a claim again; doubled each time
 * @param retentionMillis minimum time for which a claim is kept
 */
public record ClaimSettings(
    int segments,
    int slots,
    int pageEntries,
    int maximumBatch,
    int maximumWaiting,
    long writeIntervalMillis,
    long settleWithinMillis,
    long retryMillis,
    long resendMillis,
    long retentionMillis) {

  /**
   * Returns the default settings: 8 segments with a write each 40 ms at most, which is 200 writes a
   * second, and a retention of five minutes.
   */
  public static ClaimSettings defaults() {
    return new ClaimSettings(8, 1_024, 256, 1_000, 5_000, 40, 1_000, 100, 250, 300_000);
  }

  /** Returns the segment of a key. */
  public int segmentOf(String keyHash) {
    return Math.floorMod(keyHash.hashCode(), segments);
  }

  int slotOf(long ordinal) {
    return (int) (ordinal % slots);
  }
}
