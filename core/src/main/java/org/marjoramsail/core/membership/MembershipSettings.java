package org.marjoramsail.core.membership;

/**
 * Timeouts and limits of the failure detector.
 *
 * @param probePeriodMillis interval between pings of daemons of the own region, in milliseconds
 * @param ackTimeoutMillis timeout of a direct ping, after which others are requested to ping
 * @param indirectProbes number of daemons that are requested to ping
 * @param suspicionMillis timeout of a suspicion among ten daemons; it grows with the logarithm of
 *     their number, since a refutation then takes longer to spread
 * @param otherRegionPeriodMillis interval between pings of each other region
 * @param regionMisses number of consecutive pings without a response after which a region is
 *     unreachable
 * @param seedPeriodMillis interval between pings of addresses without a known daemon
 * @param digestPeriodMillis interval between comparisons of the table with that of another daemon
 * @param forgetMillis retention time of a daemon that is dead or has left
 * @param lateTickMillis delay of a tick from which on the process is assumed to have been paused
 * @param maximumUpdateBytes approximate maximum size of the updates in one message
 * @param retransmitFactor number of transmissions of an update, per logarithm of the number of
 *     daemons
 */
public record MembershipSettings(
    long probePeriodMillis,
    long ackTimeoutMillis,
    int indirectProbes,
    long suspicionMillis,
    long otherRegionPeriodMillis,
    int regionMisses,
    long seedPeriodMillis,
    long digestPeriodMillis,
    long forgetMillis,
    long lateTickMillis,
    int maximumUpdateBytes,
    int retransmitFactor) {

  /** Minimum interval between calls of {@link MembershipProtocol#tick}, in milliseconds. */
  public static final long TICK_MILLIS = 50;

  private static final double SMALL_FLEET = 10;

  /**
   * Returns values for networks with a round-trip time of a few milliseconds.
   *
   * <p>The timeout of a suspicion is long enough for a daemon that was paused for one second to
   * refute the suspicion when it resumes. The suspicion begins 0.25 s after the start of the pause
   * at the earliest, so that half a second is left for the refutation to reach all daemons.
   */
  public static MembershipSettings defaults() {
    return new MembershipSettings(
        250, 100, 3, 1_250, 2_000, 6, 5_000, 30_000, 3_600_000, 250, 1_200, 3);
  }

  long suspicionMillis(int liveDaemons) {
    double scale = Math.max(1, Math.log10(Math.max(SMALL_FLEET, liveDaemons)));
    return Math.round(suspicionMillis * scale);
  }

  int transmissions(int liveDaemons) {
    int logarithm = Integer.SIZE - Integer.numberOfLeadingZeros(liveDaemons);
    return retransmitFactor * Math.max(1, logarithm);
  }
}
