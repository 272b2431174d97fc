package org.marjoramsail.core.membership;

/**
 * Times and bounds of the failure detector.
 *
 * @param probePeriodMillis how often a daemon of the own region is pinged, in milliseconds
 * @param ackTimeoutMillis how long a direct answer may take before others are asked to ping
 * @param indirectProbes how many others are asked
 * @param suspicionMillis how long a suspicion may stand among ten daemons; it grows with the
 *     logarithm of their number, because a refutation takes longer to spread
 * @param otherRegionPeriodMillis how often a daemon of each other region is pinged
 * @param regionMisses how many pings in a row a region leaves unanswered before it counts as
 *     unreachable
 * @param seedPeriodMillis how often an address without a known live daemon is tried
 * @param digestPeriodMillis how often the full state is compared with that of another daemon
 * @param forgetMillis how long a daemon that is dead or has left is remembered
 * @param lateTickMillis a tick that comes this late means that this process was paused
 * @param maximumUpdateBytes bytes of news in one message, about
 * @param retransmitFactor news are sent this often, times the logarithm of the number of daemons
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

  /** How often {@link MembershipProtocol#tick} wants to be called, in milliseconds. */
  public static final long TICK_MILLIS = 50;

  private static final double SMALL_FLEET = 10;

  /**
   * Values for links with a round trip of a few milliseconds.
   *
   * <p>A pause of one second starts a suspicion after 0.25 s at the earliest. Each daemon of a
   * small fleet tells the suspect of it every 0.25 s, so that its refutation reaches all as soon as
   * it wakes; 1.25 s of suspicion leave a reserve of half a second.
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
