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
final class RegionWatch {

  private static final class Status {
    private boolean awaited;
    private long nextPingMillis;
    private int misses;
    private boolean reachable = true;
  }

  private final MembershipSettings settings;
  private final Map<String, Status> regions = new HashMap<>();

  RegionWatch(MembershipSettings settings) {
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
  boolean pinged(String region, long nowMillis) {
    Status status = status(region, nowMillis);
    if (status.awaited) {
      status.misses++;
    }
    status.awaited = true;
    boolean urgent = status.misses > 0 && status.reachable;
    status.nextPingMillis =
        nowMillis + (urgent ? settings.probePeriodMillis() : settings.otherRegionPeriodMillis());
    boolean lost = status.reachable && status.misses >= settings.regionMisses();
    status.reachable &= !lost;
    return lost;
  }

  /**
   * Notes that a daemon of this region was heard.
   *
   * @return whether the region was unreachable until now
   */
  boolean heard(String region) {
    Status status = regions.get(region);
    if (status == null) {
      return false;
    }
    boolean found = !status.reachable;
    status.awaited = false;
    status.misses = 0;
    status.reachable = true;
    return found;
  }

  /** Takes no miss for granted that fell into a pause of this process. */
  void paused() {
    for (Status status : regions.values()) {
      status.awaited = false;
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
