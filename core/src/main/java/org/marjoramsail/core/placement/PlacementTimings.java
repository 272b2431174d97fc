package org.marjoramsail.core.placement;

/**
 * How long entries and owners wait for each other, in milliseconds.
 *
 * @param holdingsMillis how often an entry repeats what it holds to an owner with whom something
 *     waits
 * @param idleHoldingsMillis the same where everything is granted
 * @param responseTimeoutMillis how long an owner may leave an entry unanswered before the entry
 *     turns to the next in rank
 * @param skipMillis how long an owner that was silent is passed over
 * @param expiryMillis how long an owner keeps an attempt of which its entry says nothing
 */
public record PlacementTimings(
    long holdingsMillis,
    long idleHoldingsMillis,
    long responseTimeoutMillis,
    long skipMillis,
    long expiryMillis) {

  /** The timings of a deployment: an owner's death is noticed within 0.9 s. */
  public static PlacementTimings standard() {
    return new PlacementTimings(500, 1_000, 400, 2_000, 3_500);
  }
}
