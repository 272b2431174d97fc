package org.marjoramsail.core.discovery;

/**
 * Times that decide how long an upstream is kept whose entry is missing after an outage of the
 * list.
 *
 * @param recoveryMillis time after a disturbance in which a daemon has to be up to date
 * @param renewalMillis interval at which upstreams renew their entries
 */
public record RetentionBounds(long recoveryMillis, long renewalMillis) {

  /**
   * Time after an outage in which upstreams register again and daemons learn of that, in
   * milliseconds. A daemon gathers changes for a part of it.
   */
  public static final long REAPPEARANCE_MILLIS = 2_400;

  /** Number of missed renewals after which an entry expires. */
  private static final long RENEWALS = 3;

  /** Time to remove an upstream and to send what was already assigned to it, in milliseconds. */
  private static final long REACTION_MILLIS = 400;

  /** Shortest outage in which an entry can expire; its last renewal may precede the outage. */
  public long shortestExpiryMillis() {
    return (RENEWALS - 1) * renewalMillis;
  }

  /**
   * Returns until when an upstream without an entry is kept after an outage.
   *
   * <p>Upstreams get the time to register again after the latest possible end, unless that exceeds
   * the time for which a daemon may be outdated after the earliest possible one.
   *
   * @param earliestEndMillis when the outage can have ended at the earliest
   * @param latestEndMillis when it had ended at the latest
   */
  public long retainedUntilMillis(long earliestEndMillis, long latestEndMillis) {
    long outdatedMillis = Math.max(recoveryMillis - REACTION_MILLIS, REAPPEARANCE_MILLIS);
    return Math.min(latestEndMillis + REAPPEARANCE_MILLIS, earliestEndMillis + outdatedMillis);
  }
}
