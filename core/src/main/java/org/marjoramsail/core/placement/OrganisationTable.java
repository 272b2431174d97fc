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
import org.marjoramsail.core.placement.OrganisationUsageMessage.Usage;

/** The organisations of one shard and this shard's part in their limits. */
final class OrganisationTable {

  /** Demand of another shard counts for that long after it was told. */
  private static final long USAGE_MILLIS = 5_000;

  /** How often usage is told while every organisation is well below its rates. */
  private static final long QUIET_MILLIS = 1_000;

  private static final Usage NOTHING = new Usage("", 0, 0, 0);

  private final ShardId shard;
  private final Optional<Long> takenOverAt;
  private final long sinceMillis;
  private final Map<String, OrganisationState> byName = new TreeMap<>();
  private final Map<ShardId, HeardUsage> others = new HashMap<>();
  private Map<String, OrganisationDefinition> definitions = Map.of();
  private int shardCount = 1;
  private double fleetShare = 1;
  private long toldAt;

  OrganisationTable(ShardId shard, boolean isTakenOver, long nowMillis) {
    this.shard = shard;
    this.takenOverAt = isTakenOver ? Optional.of(nowMillis) : Optional.empty();
    this.sinceMillis = nowMillis;
    this.toldAt = nowMillis;
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

  OrganisationState of(String name) {
    return byName.computeIfAbsent(name, this::create);
  }

  List<OrganisationState> all() {
    return List.copyOf(byName.values());
  }

  /**
   * What the owners of other shards should hear now: usage of organisations with limits, every
   * second, and at once where one of them nears a rate.
   */
  OrganisationUsageMessage usage(long nowMillis) {
    List<Usage> usages = new ArrayList<>();
    boolean isDue = nowMillis - toldAt >= QUIET_MILLIS;
    for (OrganisationState organisation : byName.values()) {
      if (organisation.isLimited()) {
        usages.add(
            new Usage(
                organisation.name(),
                organisation.demand(),
                organisation.startedRequests(),
                organisation.startedTokens()));
        isDue |= organisation.isPressed(nowMillis);
      }
    }
    if (!isDue) {
      return new OrganisationUsageMessage(shard, sinceMillis, List.of());
    }
    toldAt = nowMillis;
    return new OrganisationUsageMessage(shard, sinceMillis, usages);
  }

  /** Handles what the owner of another shard told. */
  void take(OrganisationUsageMessage message, long nowMillis) {
    if (message.shard().equals(shard)) {
      return;
    }
    HeardUsage before = others.get(message.shard());
    boolean isSameOwner = before != null && before.ownerSinceMillis() == message.ownerSinceMillis();
    Map<String, Usage> known = isSameOwner ? before.byOrganisation() : new HashMap<>();
    for (Usage usage : message.usages()) {
      Usage told = known.put(usage.organisation(), usage);
      Usage last = told == null ? NOTHING : told;
      of(usage.organisation())
          .startedElsewhere(
              Math.max(0, usage.startedRequests() - last.startedRequests()),
              Math.max(0, usage.startedTokens() - last.startedTokens()),
              nowMillis);
    }
    others.put(message.shard(), new HeardUsage(message.ownerSinceMillis(), known, nowMillis));
  }

  /** Works out the shares again, and forgets organisations without demand or limits. */
  void refresh(long nowMillis) {
    Map<String, Integer> demand = new HashMap<>();
    for (HeardUsage heard : others.values()) {
      if (nowMillis - heard.atMillis() <= USAGE_MILLIS) {
        heard
            .byOrganisation()
            .values()
            .forEach(usage -> demand.merge(usage.organisation(), usage.demand(), Integer::sum));
      }
    }
    byName.values().removeIf(organisation -> organisation.isIdle() && !organisation.isLimited());
    for (OrganisationState organisation : byName.values()) {
      organisation.share(demand.getOrDefault(organisation.name(), 0), shardCount, fleetShare);
    }
  }

  private OrganisationState create(String name) {
    OrganisationState organisation = new OrganisationState(name, takenOverAt);
    organisation.define(definitionOf(organisation));
    organisation.share(0, shardCount, fleetShare);
    return organisation;
  }

  private Optional<OrganisationDefinition> definitionOf(OrganisationState organisation) {
    return Optional.ofNullable(definitions.get(organisation.name()));
  }

  private record HeardUsage(
      long ownerSinceMillis, Map<String, Usage> byOrganisation, long atMillis) {}
}
