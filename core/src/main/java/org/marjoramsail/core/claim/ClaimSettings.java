package org.marjoramsail.core.claim;

/**
 * Bounds and paces of claims; the same on all daemons.
 *
 * @param segments how many segments the keys are spread over; a change needs an empty store
 * @param slots how many pages a segment has at most
 * @param pageEntries a page with so many entries is sealed
 * @param maximumBatch how many claims, and how many outcomes, go into one write at most
 * @param maximumWaiting how many claims, and how many outcomes, wait in a segment at most
 * @param writeIntervalMillis least time between the starts of two writes of a segment
 * @param settleWithinMillis how long an outcome waits for a claim to ride along with
 * @param retryMillis how long to wait after a failed call
 * @param resendMillis how long a claimant waits before it asks again; doubled each time
 * @param retentionMillis how long a claim is remembered at least
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

  /** At most 200 writes a second: 8 segments, each every 40 ms at most; five minutes kept. */
  public static ClaimSettings defaults() {
    return new ClaimSettings(8, 1_024, 256, 1_000, 5_000, 40, 1_000, 100, 250, 300_000);
  }

  /** The segment of a key. */
  public int segmentOf(String keyHash) {
    return Math.floorMod(keyHash.hashCode(), segments);
  }

  int slotOf(long ordinal) {
    return (int) (ordinal % slots);
  }
}
