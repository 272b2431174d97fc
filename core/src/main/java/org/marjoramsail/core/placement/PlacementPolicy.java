package org.marjoramsail.core.placement;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;

/** The placement policies, with the codes that settings and the command line use. */
public enum PlacementPolicy {
  /** One owner for each shard queues requests and reserves slots. */
  RESERVE("reserve", true) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new ReservingPlacer(setup, nowMillis);
    }
  },
  /**
   * Each entry daemon queues requests and reserves slots on its own; load reports show it the
   * requests of other daemons.
   */
  RESERVE_ALONE("reserve-alone", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new ReservingPlacer(setup, nowMillis);
    }
  },
  /** Each entry daemon uses the upstreams in turn. */
  ROUND_ROBIN("round-robin", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new RoundRobinPlacer(setup);
    }
  },
  /** Each entry daemon uses the upstream with the least reported load. */
  LEAST_LOAD("least-load", false) {
    @Override
    public Placer create(PlacerSetup setup, long nowMillis) {
      return new LeastReportedLoadPlacer(setup);
    }
  },
  /** Each entry daemon uses the less loaded of two upstreams drawn at random. */
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

  /** Creates a placer for one shard. */
  public abstract Placer create(PlacerSetup setup, long nowMillis);

  /** Returns the name in settings and on the command line. */
  public String code() {
    return code;
  }

  /**
   * Returns whether all entry daemons use the one owner of a shard; otherwise each has its own
   * placer.
   */
  public boolean isSharedOwner() {
    return sharedOwner;
  }

  /** Returns the policy with that code; empty for an unknown code. */
  public static Optional<PlacementPolicy> ofCode(String code) {
    return Arrays.stream(values()).filter(policy -> policy.code.equals(code)).findFirst();
  }

  /** Returns all codes, in order of preference. */
  public static List<String> codes() {
    return Arrays.stream(values()).map(PlacementPolicy::code).toList();
  }
}
