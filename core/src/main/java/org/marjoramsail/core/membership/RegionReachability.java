package org.marjoramsail.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Which other regions answer.
 *
 * <p>While the link between two regions is cut, each would take all daemons of the other for dead,
 * and tell so when they merge. So a daemon never accuses one of another region; it finds a region
 * unreachable as a whole, keeps that to itself, and believes of each daemon there what its own
 * region says.
 */
final class RegionReachability {

  private static final class Status {
    private boolean responsePending;
    private long nextPingMillis;
    private int misses;
    private boolean reachable = true;
  }

  private final MembershipSettings settings;
  private final Map<String, Status> regions = new HashMap<>();

  RegionReachability(MembershipSettings settings) {
    this.settings = settings;
  }

  boolean isReachable(String region) {
    Status status = regions.get(region);
    return status == null || status.reachable;
  }

  /** Whether a daemon of this region is to be pinged now. */
  boolean isDue(String region, long nowMillis) {
    return nowMillis >= status(region, nowMillis).nextPingMillis;
  }

  /**
   * Notes a new ping, and that the last one was missed if nothing came since.
   *
   * @return whether the region has just become unreachable
   */
  boolean recordPing(String region, long nowMillis) {
    Status status = status(region, nowMillis);
    if (status.responsePending) {
      status.misses++;
    }
    status.responsePending = true;
    boolean urgent = status.misses > 0 && status.reachable;
    status.nextPingMillis =
        nowMillis + (urgent ? settings.probePeriodMillis() : settings.otherRegionPeriodMillis());
    boolean becameUnreachable = status.reachable && status.misses >= settings.regionMisses();
    status.reachable &= !becameUnreachable;
    return becameUnreachable;
  }

  /**
   * Notes that a daemon of this region was heard.
   *
   * @return whether the region was unreachable until now
   */
  boolean recordContact(String region) {
    Status status = regions.get(region);
    if (status == null) {
      return false;
    }
    boolean wasUnreachable = !status.reachable;
    status.responsePending = false;
    status.misses = 0;
    status.reachable = true;
    return wasUnreachable;
  }

  /** Takes no miss for granted that fell into a pause of this process. */
  void reset() {
    for (Status status : regions.values()) {
      status.responsePending = false;
      status.misses = 0;
    }
  }

  private Status status(String region, long nowMillis) {
    return regions.computeIfAbsent(
        region,
        name -> {
          Status status = new Status();
          status.nextPingMillis = nowMillis;
          return status;
        });
  }
}
