package org.marjoramsail.core.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The ways to place requests, as settings and the command line name them. */
public enum PlacementPolicy {
  /** One owner for each shard queues and reserves. */
  RESERVE("reserve", true) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new ReservingPlacer(setup, nowMillis);
    }
  },
  /** Each entry daemon queues and reserves for itself; it sees others only in load reports. */
  RESERVE_ALONE("reserve-alone", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new ReservingPlacer(setup, nowMillis);
    }
  },
  /** Each entry daemon takes upstreams in turn. */
  ROUND_ROBIN("round-robin", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new RoundRobinPlacer(setup);
    }
  },
  /** Each entry daemon takes the least reported load. */
  LEAST_LOAD("least-load", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new LeastReportedLoadPlacer(setup);
    }
  },
  /** Each entry daemon takes the less loaded of two drawn by chance. */
  TWO_CHOICES("two-choices", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new TwoChoicesPlacer(setup);
    }
  };

  private final String code;
  private final boolean sharedOwner;

  PlacementPolicy(String code, boolean sharedOwner) {
    this.code = code;
    this.sharedOwner = sharedOwner;
  }

  /** Makes a placer for one shard. */
  public abstract Placer create(PlacerSetup setup, long nowMillis);

  /** The name in settings and on the command line. */
  public String code() {
    return code;
  }

  /** Whether all entry daemons ask the one owner of a shard; else each has a placer of its own. */
  public boolean isSharedOwner() {
    return sharedOwner;
  }

  /** The policy of that code; empty for an unknown one. */
  public static Optional<PlacementPolicy> ofCode(String code) {
    return Arrays.stream(values()).filter(policy -> policy.code.equals(code)).findFirst();
  }

  /** All codes, in the order of preference. */
  public static List<String> codes() {
    return Arrays.stream(values()).map(PlacementPolicy::code).toList();
  }
}
