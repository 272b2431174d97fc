package org.marjoramsail.core.discovery;

/**
 * Bounds on the time at which an outage of the list has ended, from the calls that failed and
 * succeeded around it.
 *
 * <p>An outage ends after the last call without a response was sent, and before the first response
 * was received. The time at which a daemon notices the end may be much later, as when its
 * connection has died. Not safe for several threads.
 */
final class ListOutage {

  private final RetentionBounds bounds;
  private boolean ongoing;
  private long availableAtMillis;
  private long earliestEndMillis;
  private long retainedUntilMillis;
  private long endedAtMillis;

  ListOutage(RetentionBounds bounds) {
    this.bounds = bounds;
  }

  /**
   * Records that a call got no response; the list was unavailable when it was sent or later. A call
   * that was sent before a response to a later one says nothing new.
   */
  void unanswered(long sentAtMillis) {
    if (sentAtMillis < availableAtMillis) {
      return;
    }
    ongoing = true;
    earliestEndMillis = Math.max(earliestEndMillis, sentAtMillis);
  }

  /** Records that the connection of a call was closed; until then the list was available. */
  void closed(long sentAtMillis, long nowMillis) {
    if (ongoing) {
      unanswered(sentAtMillis);
    } else {
      available(nowMillis);
      ongoing = true;
    }
  }

  /**
   * Records a response of any kind, from a list that is available.
   *
   * @return whether it ends an outage in which entries may have expired
   */
  boolean responded(long nowMillis) {
    boolean mayHaveExpired =
        ongoing && nowMillis - availableAtMillis >= bounds.shortestExpiryMillis();
    if (mayHaveExpired) {
      retain(nowMillis);
    }
    ongoing = false;
    available(nowMillis);
    return mayHaveExpired;
  }

  /** Records that the list was restored from a backup, which may lack entries. */
  void restored(long nowMillis) {
    retain(nowMillis);
  }

  /** Returns whether the last call got no response. */
  boolean isOngoing() {
    return ongoing;
  }

  /** Returns when the last outage in which entries may have expired ended at the earliest. */
  long endedAtMillis() {
    return endedAtMillis;
  }

  /** Returns until when an upstream without an entry is kept; in the past if it is not. */
  long retainedUntilMillis() {
    return retainedUntilMillis;
  }

  private void available(long nowMillis) {
    availableAtMillis = nowMillis;
    // A later outage cannot end before this time.
    earliestEndMillis = Math.max(earliestEndMillis, nowMillis);
  }

  private void retain(long latestEndMillis) {
    endedAtMillis = earliestEndMillis;
    retainedUntilMillis =
        Math.max(
            retainedUntilMillis, bounds.retainedUntilMillis(earliestEndMillis, latestEndMillis));
  }
}
