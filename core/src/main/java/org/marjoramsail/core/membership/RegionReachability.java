package org.marjoramsail.core.membership;

import java.util.HashMap;
import java.util.Map;

/**
 * Tracks which other regions are reachable.
 *
 * <p>Guards against false deaths after a partition between regions: a daemon never suspects a
 * daemon of another region. It considers a region unreachable as a whole, does not disseminate
 * that, and receives the state of each daemon there from updates of that region.
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

  /** Returns whether a daemon of this region has to be pinged now. */
  boolean isDue(String region, long nowMillis) {
    return nowMillis >= status(region, nowMillis).nextPingMillis;
  }

  /**
   * Records a new ping; counts the previous one as missed if no message arrived since.
   *
   * @return whether the region became unreachable by this call
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
   * Records a message from a daemon of this region.
   *
   * @return whether the region was unreachable before this call
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

  /** Discards all missed pings, since they may be due to a pause of this process. */
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
