package org.marjoramsail.daemon.placement;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.placement.AcceptedFeedback;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.PlacerEvent;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shards that this daemon decides for.
 *
 * <p>A shard comes into being with the first message about it, whoever ranks first for it: an entry
 * that finds the first in rank silent must be served by the next, before all have noticed.
 */
final class OwnedShards {

  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);

  /** How long a shard without requests is kept, in milliseconds. */
  private static final long IDLE_MILLIS = 10_000;

  private final DaemonId self;
  private final ShardTopology topology;
  private final PlacementTimings timings;
  private final Clock clock;
  private final Consumer<ShardCoordinator.Outgoing> sender;
  private final Map<ShardId, OwnedShard> shards = new ConcurrentHashMap<>();

  OwnedShards(
      DaemonId self,
      ShardTopology topology,
      PlacementTimings timings,
      Clock clock,
      Consumer<ShardCoordinator.Outgoing> sender) {
    this.self = self;
    this.topology = topology;
    this.timings = timings;
    this.clock = clock;
    this.sender = sender;
  }

  void handle(DaemonId from, PlacementMessage message) {
    send(shard(message.shard()).handle(from, message, clock.millis()));
  }

  /** Tells a event to one shard, which begins to exist here. */
  void apply(ShardId shard, PlacerEvent event) {
    send(shard(shard).apply(event, clock.millis()));
  }

  void applyToAll(PlacerEvent event) {
    shards.values().forEach(shard -> send(shard.apply(event, clock.millis())));
  }

  void daemonFailed(DaemonId daemon) {
    shards.values().forEach(shard -> send(shard.daemonFailed(daemon, clock.millis())));
  }

  void daemonRecovered(DaemonId daemon) {
    shards.values().forEach(shard -> shard.daemonRecovered(daemon));
  }

  void tick() {
    long now = clock.millis();
    shards.values().forEach(shard -> send(shard.tick(now)));
    shards.values().forEach(OwnedShards::log);
    shards
        .values()
        .removeIf(shard -> !isFirstOwner(shard) && shard.isUnusedSince(now - IDLE_MILLIS));
  }

  /**
   * Whether a shard stays open without requests.
   *
   * <p>Guards against the failure in which the first lookup after a quiet time is refused: a shard
   * that is opened anew knows no load and settles as after a change of owner, longer than the
   * lookup can wait. The first in rank keeps its shards open and fed with reports.
   */
  private boolean isFirstOwner(OwnedShard shard) {
    return topology.shards().contains(shard.shard())
        && topology.owners(shard.shard()).get(0).equals(self);
  }

  boolean isEmpty() {
    return shards.isEmpty();
  }

  boolean hasWaitingRequests() {
    return shards.values().stream().anyMatch(OwnedShard::isWaiting);
  }

  /** Engines of the shards that this daemon ranks first for which should change their role. */
  List<RoleChange> recommendedRoleChanges() {
    return shards.values().stream()
        .filter(this::isFirstOwner)
        .flatMap(shard -> shard.recommendedRoleChange(clock.millis()).stream())
        .toList();
  }

  Collection<ShardId> ids() {
    return List.copyOf(shards.keySet());
  }

  /** What the owners of other shards should hear of the organisations in each shard here. */
  List<OrganisationUsageMessage> usageMessages() {
    long now = clock.millis();
    return shards.values().stream()
        .map(shard -> shard.usage(now))
        .flatMap(Optional::stream)
        .toList();
  }

  List<ShardView> views() {
    return shards.values().stream().map(shard -> shard.view(clock.millis())).toList();
  }

  /** The same of shards in which something waits; the others are not looked at. */
  List<ShardView> viewsWithWaitingRequests() {
    return shards.values().stream()
        .filter(OwnedShard::isWaiting)
        .map(shard -> shard.view(clock.millis()))
        .toList();
  }

  /** What a shard without requests would look like that begins to exist now with these events. */
  ShardView idleView(ShardId shard, List<PlacerEvent> events) {
    OwnedShard idleShard = open(shard);
    events.forEach(event -> idleShard.apply(event, clock.millis()));
    return idleShard.view(clock.millis());
  }

  private static void log(OwnedShard shard) {
    for (AcceptedFeedback feedback : shard.takeAcceptedFeedback()) {
      LOG.atInfo()
          .addKeyValue("shard", shard.shard())
          .addKeyValue("upstream", feedback.upstream())
          .addKeyValue("requestsPerSecond", feedback.requestsPerSecond().orElse(null))
          .addKeyValue("leaving", feedback.leaving())
          .addKeyValue("heardFrom", feedback.reportedBy())
          .addKeyValue("ageMillis", feedback.ageMillis())
          .log("owner believes what an upstream said of itself");
    }
  }

  private OwnedShard shard(ShardId id) {
    return shards.computeIfAbsent(id, this::open);
  }

  private OwnedShard open(ShardId id) {
    ShardCoordinator coordinator = new ShardCoordinator(id, topology.placerFor(id), timings);
    return new OwnedShard(id, coordinator, clock.millis());
  }

  private void send(List<ShardCoordinator.Outgoing> messages) {
    messages.forEach(sender);
  }
}
