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

/** The organisations of one shard and this shard's shares of their limits. */
final class OrganisationTable {

  /** Usage of another shard counts for that long after it was told. */
  private static final long USAGE_MILLIS = 5_000;

  private final ShardId shard;
  private final Map<String, OrganisationState> byName = new TreeMap<>();
  private final Map<ShardId, TakenUsage> others = new HashMap<>();
  private Map<String, OrganisationDefinition> definitions = Map.of();
  private int shardCount = 1;

  OrganisationTable(ShardId shard) {
    this.shard = shard;
  }

  void configure(Configuration configuration, int newShardCount) {
    definitions =
        configuration.organisations().stream()
            .collect(Collectors.toMap(OrganisationDefinition::name, definition -> definition));
    shardCount = Math.max(1, newShardCount);
    byName.values().forEach(organisation -> organisation.define(definitionOf(organisation)));
  }

  OrganisationState of(String name) {
    return byName.computeIfAbsent(name, this::create);
  }

  List<OrganisationState> all() {
    return List.copyOf(byName.values());
  }

  /** What the owners of other shards should know. */
  OrganisationUsageMessage usage() {
    List<OrganisationUsageMessage.Usage> usages = new ArrayList<>();
    for (OrganisationState organisation : byName.values()) {
      int demand = organisation.running() + organisation.waiting();
      if (organisation.isLimited() && demand > 0) {
        usages.add(new OrganisationUsageMessage.Usage(organisation.name(), demand));
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
    Map<String, Integer> demand = new HashMap<>();
    for (TakenUsage taken : others.values()) {
      for (OrganisationUsageMessage.Usage usage : taken.message().usages()) {
        demand.merge(usage.organisation(), usage.demand(), Integer::sum);
      }
    }
    byName.values().removeIf(organisation -> organisation.isIdle() && !organisation.isLimited());
    for (OrganisationState organisation : byName.values()) {
      organisation.share(demand.getOrDefault(organisation.name(), 0), shardCount);
    }
  }

  private OrganisationState create(String name) {
    OrganisationState organisation = new OrganisationState(name);
    organisation.define(definitionOf(organisation));
    organisation.share(0, shardCount);
    return organisation;
  }

  private Optional<OrganisationDefinition> definitionOf(OrganisationState organisation) {
    return Optional.ofNullable(definitions.get(organisation.name()));
  }

  private record TakenUsage(OrganisationUsageMessage message, long atMillis) {}
}
