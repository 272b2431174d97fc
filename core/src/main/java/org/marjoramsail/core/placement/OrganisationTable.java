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

/** Table of the organisations of one shard and of this shard's share in their limits. */
final class OrganisationTable {

  /** Time for which a received demand of another shard counts. */
  private static final long DEMAND_VALIDITY_MILLIS = 5_000;

  /** Interval between messages while every organisation is well below its rates. */
  private static final long REGULAR_INTERVAL_MILLIS = 1_000;

  /**
   * Time without messages after which another owner's counts are removed. An owner sends them every
   * second.
   */
  private static final long OWNER_EXPIRY_MILLIS = 60_000;

  private final ShardId shard;
  private final boolean isTakenOver;
  private final long openedAt;
  private final long epoch;
  private final Map<String, OrganisationState> byName = new TreeMap<>();
  private final Map<OwnerKey, ReceivedUsage> otherOwners = new HashMap<>();
  private Map<String, OrganisationDefinition> definitions = Map.of();
  private Map<String, OrganisationCredit> inheritedCredits = Map.of();
  private int shardCount = 1;
  private double fleetShare = 1;
  private boolean isShareProvisional;
  private long sentAt;

  /**
   * Creates the table of a new owner.
   *
   * @param epoch identifies this owner among the successive owners of the shard
   * @param isTakenOver whether another owner may have preceded this one
   */
  OrganisationTable(ShardId shard, long epoch, boolean isTakenOver, long nowMillis) {
    this.shard = shard;
    this.isTakenOver = isTakenOver;
    this.openedAt = nowMillis;
    this.epoch = epoch;
    this.sentAt = nowMillis;
  }

  void configure(Configuration configuration, int newShardCount) {
    definitions =
        configuration.organisations().stream()
            .collect(Collectors.toMap(OrganisationDefinition::name, definition -> definition));
    shardCount = Math.max(1, newShardCount);
    byName.values().forEach(organisation -> organisation.define(definitionOf(organisation)));
  }

  /** Sets the credits that a predecessor left, for organisations that have no state here yet. */
  void inherit(Map<String, OrganisationCredit> credits) {
    inheritedCredits = Map.copyOf(credits);
  }

  /**
   * Sets the share of the daemons that this owner serves.
   *
   * @param isProvisional whether it is about to change
   */
  void fleetShare(double share, boolean isProvisional) {
    fleetShare = share;
    isShareProvisional = isProvisional;
  }

  OrganisationState of(String name) {
    return byName.computeIfAbsent(name, this::create);
  }

  List<OrganisationState> all() {
    return List.copyOf(byName.values());
  }

  /**
   * Returns the usage of organisations for the owners of other shards: of all that have limits once
   * a second, and in between of those that near a rate limit.
   */
  OrganisationUsageMessage usage(long nowMillis) {
    boolean isRegular = nowMillis - sentAt >= REGULAR_INTERVAL_MILLIS;
    if (isRegular) {
      sentAt = nowMillis;
    }
    List<Usage> usages = new ArrayList<>();
    for (OrganisationState organisation : byName.values()) {
      boolean isDue = isRegular || organisation.isNearRateLimit(shardCount, nowMillis);
      if (organisation.isLimited() && isDue) {
        usages.add(organisation.takeUsage(nowMillis));
      }
    }
    return new OrganisationUsageMessage(shard, epoch, usages);
  }

  /**
   * Handles the usage that another owner sent, of another shard or of this one.
   *
   * <p>A shard may have two owners for a while, each of which sends its own counts. The first
   * message of an owner is charged with at most one burst, as most of its counts may be old.
   */
  void receive(OrganisationUsageMessage message, long nowMillis) {
    OwnerKey owner = new OwnerKey(message.shard(), message.epoch());
    if (owner.equals(new OwnerKey(shard, epoch))) {
      return;
    }
    ReceivedUsage earlier = otherOwners.get(owner);
    Map<String, Usage> usageByOrganisation =
        earlier == null ? new HashMap<>() : earlier.byOrganisation();
    for (Usage usage : message.usages()) {
      Usage previous = usageByOrganisation.put(usage.organisation(), usage);
      OrganisationState organisation = of(usage.organisation());
      if (previous == null) {
        organisation.startedByNewOwner(usage.startedRequests(), usage.startedTokens(), nowMillis);
      } else {
        organisation.startedElsewhere(
            Math.max(0, usage.startedRequests() - previous.startedRequests()),
            Math.max(0, usage.startedTokens() - previous.startedTokens()),
            nowMillis);
      }
    }
    otherOwners.put(owner, new ReceivedUsage(usageByOrganisation, nowMillis));
    for (Usage usage : message.usages()) {
      of(usage.organisation())
          .askedElsewhere(askedElsewhere(usage.organisation(), nowMillis), nowMillis);
    }
  }

  /**
   * Returns the rate at which requests of an organisation are placed in other shards. A shard that
   * has just changed its owner counts once.
   */
  private double askedElsewhere(String organisation, long nowMillis) {
    Map<ShardId, Double> byShard = new HashMap<>();
    otherOwners.forEach(
        (owner, received) -> {
          Usage usage = received.byOrganisation().get(organisation);
          boolean isRecent = nowMillis - received.atMillis() <= DEMAND_VALIDITY_MILLIS;
          if (usage != null && isRecent && !owner.shard().equals(shard)) {
            byShard.merge(owner.shard(), usage.askedPerSecond(), Math::max);
          }
        });
    return byShard.values().stream().mapToDouble(each -> each).sum();
  }

  /**
   * Recalculates the shares, and removes expired owners and organisations without demand or limits.
   */
  void refresh(long nowMillis) {
    removeExpired(nowMillis);
    Map<String, Integer> demand = new HashMap<>();
    for (ReceivedUsage received : otherOwners.values()) {
      if (nowMillis - received.atMillis() <= DEMAND_VALIDITY_MILLIS) {
        received
            .byOrganisation()
            .values()
            .forEach(usage -> demand.merge(usage.organisation(), usage.demand(), Integer::sum));
      }
    }
    byName.values().removeIf(organisation -> organisation.isIdle() && !organisation.isLimited());
    for (OrganisationState organisation : byName.values()) {
      organisation.shareProvisional(isShareProvisional);
      organisation.share(
          demand.getOrDefault(organisation.name(), 0), shardCount, fleetShare, nowMillis);
      organisation.askedElsewhere(askedElsewhere(organisation.name(), nowMillis), nowMillis);
    }
  }

  /** Removes the counts of owners that no longer send any. */
  void removeExpired(long nowMillis) {
    otherOwners
        .values()
        .removeIf(received -> nowMillis - received.atMillis() > OWNER_EXPIRY_MILLIS);
  }

  private OrganisationState create(String name) {
    // Owners that this one cannot reach may have granted the burst already.
    boolean isFirstOwner = !isTakenOver && fleetShare >= 1;
    OrganisationCredit inherited = inheritedCredits.getOrDefault(name, OrganisationCredit.UNKNOWN);
    OrganisationState organisation =
        isFirstOwner
            ? new OrganisationState(name)
            : new OrganisationState(name, inherited, openedAt);
    organisation.define(definitionOf(organisation));
    organisation.shareProvisional(isShareProvisional);
    organisation.share(0, shardCount, fleetShare, openedAt);
    return organisation;
  }

  private Optional<OrganisationDefinition> definitionOf(OrganisationState organisation) {
    return Optional.ofNullable(definitions.get(organisation.name()));
  }

  private record OwnerKey(ShardId shard, long epoch) {}

  private record ReceivedUsage(Map<String, Usage> byOrganisation, long atMillis) {}
}
