package org.marjoramsail.core.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.OrganisationDefinition;
import org.marjoramsail.core.placement.OrganisationState.Demand;
import org.marjoramsail.core.placement.OrganisationState.ShareBounds;

/** The organisations of one shard and this shard's shares of their limits. */
final class OrganisationTable {

  /** Usage of another shard counts for that long after it was told. */
  private static final long USAGE_MILLIS = 5_000;

  /**
   * How long an owner that takes over keeps to an even share: it has not heard of the usage of
   * other shards, and would take the whole of each limit for its own. Longer than owners take to
   * tell each other twice.
   */
  private static final long SETTLING_MILLIS = 1_000;

  private final ShardId shard;
  private final boolean isTakenOver;
  private final long settledAt;
  private final Map<String, OrganisationState> byName = new TreeMap<>();
  private final Map<ShardId, TakenUsage> others = new HashMap<>();
  private Map<String, OrganisationDefinition> definitions = Map.of();
  private int shardCount = 1;
  private double fleetShare = 1;

  OrganisationTable(ShardId shard, boolean isTakenOver, long nowMillis) {
    this.shard = shard;
    this.isTakenOver = isTakenOver;
    this.settledAt = isTakenOver ? nowMillis + SETTLING_MILLIS : nowMillis;
  }

  void configure(Configuration configuration, int newShardCount) {
    definitions =
        configuration.organisations().stream()
            .collect(Collectors.toMap(OrganisationDefinition::name, definition -> definition));
    shardCount = Math.max(1, newShardCount);
    byName.values().forEach(organisation -> organisation.define(definitionOf(organisation)));
  }

  /** Sets which part of the daemons this owner sees. */
  void fleetShare(double share) {
    fleetShare = share;
  }

  OrganisationState of(String name, long nowMillis) {
    return byName.computeIfAbsent(name, unknown -> create(unknown, nowMillis));
  }

  List<OrganisationState> all() {
    return List.copyOf(byName.values());
  }

  /** What the owners of other shards should know. */
  OrganisationUsageMessage usage(long nowMillis) {
    List<OrganisationUsageMessage.Usage> usages = new ArrayList<>();
    for (OrganisationState organisation : byName.values()) {
      Demand demand = organisation.demand(nowMillis);
      if (organisation.isLimited() && !demand.equals(Demand.NONE)) {
        usages.add(
            new OrganisationUsageMessage.Usage(
                organisation.name(), demand.attempts(), demand.tokensPerSecond()));
      }
    }
    return new OrganisationUsageMessage(shard, usages);
  }

  void take(OrganisationUsageMessage message, long nowMillis) {
    if (!message.shard().equals(shard)) {
      others.put(message.shard(), new TakenUsage(message, nowMillis));
    }
  }

  /** Works out the shares again, and forgets organisations without demand or limits. */
  void refresh(long nowMillis) {
    others.values().removeIf(taken -> nowMillis - taken.atMillis() > USAGE_MILLIS);
    Map<String, Demand> demand = new HashMap<>();
    for (TakenUsage taken : others.values()) {
      for (OrganisationUsageMessage.Usage usage : taken.message().usages()) {
        demand.merge(
            usage.organisation(),
            new Demand(usage.demand(), usage.tokensPerSecond()),
            Demand::plus);
      }
    }
    byName.values().removeIf(organisation -> organisation.isIdle() && !organisation.isLimited());
    for (OrganisationState organisation : byName.values()) {
      Demand others = demand.getOrDefault(organisation.name(), Demand.NONE);
      organisation.share(others, shardCount, bounds(nowMillis), nowMillis);
    }
  }

  private ShareBounds bounds(long nowMillis) {
    return new ShareBounds(nowMillis < settledAt ? 1.0 / shardCount : 1, fleetShare);
  }

  private OrganisationState create(String name, long nowMillis) {
    OrganisationState organisation = new OrganisationState(name, isTakenOver);
    organisation.define(definitionOf(organisation));
    organisation.share(Demand.NONE, shardCount, bounds(nowMillis), nowMillis);
    return organisation;
  }

  private Optional<OrganisationDefinition> definitionOf(OrganisationState organisation) {
    return Optional.ofNullable(definitions.get(organisation.name()));
  }

  private record TakenUsage(OrganisationUsageMessage message, long atMillis) {}
}
