package org.marjoramsail.daemon.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.Member;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementPolicy;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.PlacementSettings;
import org.marjoramsail.core.placement.Placer;
import org.marjoramsail.core.placement.PlacerSetup;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardMap;
import org.marjoramsail.core.time.Clock;

/** Shard topology derived from the newest configuration and the newest membership view. */
public final class ConfiguredShards implements ShardTopology {

  /** Number of daemons that an entry tries as owner of a shard before it falls back to itself. */
  private static final int MAXIMUM_OWNERS = 3;

  /** Lookup tables derived from one configuration. */
  private record ConfigurationIndex(
      Configuration configuration, ShardMap map, Map<UpstreamName, ShardId> shardOf) {

    static ConfigurationIndex of(Configuration configuration) {
      ShardMap map = new ShardMap(configuration);
      Map<UpstreamName, ShardId> shardOf = new HashMap<>();
      for (ShardId shard : map.shards()) {
        for (UpstreamDefinition upstream : map.upstreamsOf(shard)) {
          shardOf.put(upstream.name(), shard);
        }
      }
      return new ConfigurationIndex(configuration, map, shardOf);
    }
  }

  /** Lookup tables derived from one membership view; the owners of a shard are computed once. */
  private record MembershipIndex(
      MembershipView view, Map<DaemonId, String> zones, Map<ShardId, List<DaemonId>> owners) {

    static MembershipIndex of(MembershipView view) {
      Map<DaemonId, String> zones =
          view.members().stream()
              .collect(
                  Collectors.toMap(
                      Member::id, Member::availabilityZone, (first, second) -> second));
      return new MembershipIndex(view, zones, new ConcurrentHashMap<>());
    }
  }

  private final Member self;
  private final PlacementPolicy policy;
  private final PlacementSettings settings;
  private final RandomGenerator random;
  private final Clock clock;
  private volatile ConfigurationIndex configurationIndex =
      ConfigurationIndex.of(Configuration.empty());
  private volatile MembershipIndex membershipIndex;

  /**
   * Creates a topology without shards, with this daemon as the only member.
   *
   * @param self this daemon
   * @param policy creates the placers of shards
   * @param settings initial values of the estimates
   * @param random source of randomness for policies that sample; thread-safe
   * @param clock provides the start time of placers
   */
  public ConfiguredShards(
      Member self,
      PlacementPolicy policy,
      PlacementSettings settings,
      RandomGenerator random,
      Clock clock) {
    this.self = self;
    this.policy = policy;
    this.settings = settings;
    this.random = random;
    this.clock = clock;
    this.membershipIndex = MembershipIndex.of(new MembershipView(self, List.of(self)));
  }

  @Override
  public Optional<ShardId> shardFor(PlacementRequest request) {
    ShardMap map = configurationIndex.map();
    Optional<ShardId> localShard = map.shardFor(request, self.region(), shard -> 0);
    return localShard.or(() -> shardInOtherRegion(map, request));
  }

  @Override
  public Optional<ShardId> shardOf(UpstreamName upstream) {
    return Optional.ofNullable(configurationIndex.shardOf().get(upstream));
  }

  @Override
  public List<ShardId> shards() {
    return configurationIndex.map().shards().stream()
        .filter(shard -> shard.region().equals(self.region()))
        .toList();
  }

  @Override
  public int shardCount(String service) {
    return (int)
        configurationIndex.map().shards().stream()
            .filter(shard -> shard.service().equals(service))
            .count();
  }

  @Override
  public List<DaemonId> owners(ShardId shard) {
    if (!policy.isSharedOwner()) {
      return List.of(self.id());
    }
    MembershipIndex current = membershipIndex;
    return current.owners().computeIfAbsent(shard, key -> rankOwners(key, current.view()));
  }

  @Override
  public Placer placerFor(ShardId shard) {
    MembershipIndex current = membershipIndex;
    PlacerSetup setup =
        new PlacerSetup(
            shard,
            configurationIndex.configuration(),
            settings,
            daemon -> Optional.ofNullable(membershipIndex.zones().get(daemon)),
            random,
            policy.isSharedOwner() && current.view().members().size() > 1);
    return policy.create(setup, clock.millis());
  }

  @Override
  public List<UpstreamDefinition> upstreamsOf(ShardId shard) {
    return configurationIndex.map().upstreamsOf(shard);
  }

  @Override
  public void configure(Configuration configuration) {
    configurationIndex = ConfigurationIndex.of(configuration);
  }

  @Override
  public void updateMembership(MembershipView view) {
    membershipIndex = MembershipIndex.of(view);
  }

  private static Optional<ShardId> shardInOtherRegion(ShardMap map, PlacementRequest request) {
    return map.shards().stream()
        .filter(shard -> shard.service().equals(request.service()))
        .map(ShardId::region)
        .distinct()
        .flatMap(region -> map.shardFor(request, region, shard -> 0).stream())
        .findFirst();
  }

  private List<DaemonId> rankOwners(ShardId shard, MembershipView view) {
    List<DaemonId> owners =
        ShardMap.ranking(shard, view)
            .limit(MAXIMUM_OWNERS)
            .map(Member::id)
            .collect(Collectors.toCollection(ArrayList::new));
    if (!owners.contains(self.id())) {
      owners.add(self.id());
    }
    return List.copyOf(owners);
  }
}
