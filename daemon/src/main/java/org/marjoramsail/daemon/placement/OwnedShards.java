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
  private final ShardChoice choice;
  private final PlacementTimings timings;
  private final Clock clock;
  private final Consumer<ShardCoordinator.Outgoing> sender;
  private final Map<ShardId, OwnedShard> shards = new ConcurrentHashMap<>();

  OwnedShards(
      DaemonId self,
      ShardChoice choice,
      PlacementTimings timings,
      Clock clock,
      Consumer<ShardCoordinator.Outgoing> sender) {
    this.self = self;
    this.choice = choice;
    this.timings = timings;
    this.clock = clock;
    this.sender = sender;
  }

  void handle(DaemonId from, PlacementMessage message) {
    send(shard(message.shard()).handle(from, message, clock.millis()));
  }

  /** Tells a fact to one shard, which begins to exist here. */
  void inform(ShardId shard, PlacerEvent event) {
    send(shard(shard).inform(event, clock.millis()));
  }

  void informAll(PlacerEvent event) {
    shards.values().forEach(shard -> send(shard.inform(event, clock.millis())));
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
    shards.values().removeIf(shard -> !keeps(shard) && shard.isUnusedSince(now - IDLE_MILLIS));
  }

  /**
   * Whether a shard stays open without requests.
   *
   * <p>Guards against the failure in which the first lookup after a quiet time is refused: a shard
   * that is opened anew knows no load and settles as after a change of owner, longer than the
   * lookup can wait. The first in rank keeps its shards open and fed with reports.
   */
  private boolean keeps(OwnedShard shard) {
    return choice.shards().contains(shard.shard())
        && choice.owners(shard.shard()).get(0).equals(self);
  }

  boolean isEmpty() {
    return shards.isEmpty();
  }

  boolean isBusy() {
    return shards.values().stream().anyMatch(OwnedShard::isWaiting);
  }

  /** Engines of the shards that this daemon ranks first for which should change their role. */
  List<RoleChange> wantedRoleChanges() {
    return shards.values().stream()
        .filter(this::keeps)
        .flatMap(shard -> shard.wantedRoleChange(clock.millis()).stream())
        .toList();
  }

  Collection<ShardId> ids() {
    return List.copyOf(shards.keySet());
  }

  /** What the owners of other shards should hear of the organisations in each shard here. */
  List<OrganisationUsageMessage> usages() {
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
  List<ShardView> viewsOfWaiting() {
    return shards.values().stream()
        .filter(OwnedShard::isWaiting)
        .map(shard -> shard.view(clock.millis()))
        .toList();
  }

  /** What a shard without requests would look like that begins to exist now with these facts. */
  ShardView idleView(ShardId shard, List<PlacerEvent> facts) {
    OwnedShard idle = open(shard);
    facts.forEach(fact -> idle.inform(fact, clock.millis()));
    return idle.view(clock.millis());
  }

  private static void log(OwnedShard shard) {
    for (AcceptedFeedback belief : shard.takeAcceptedFeedback()) {
      LOG.atInfo()
          .addKeyValue("shard", shard.shard())
          .addKeyValue("upstream", belief.upstream())
          .addKeyValue("requestsPerSecond", belief.requestsPerSecond().orElse(null))
          .addKeyValue("leaving", belief.leaving())
          .addKeyValue("heardFrom", belief.reportedBy())
          .addKeyValue("ageMillis", belief.ageMillis())
          .log("owner believes what an upstream said of itself");
    }
  }

  private OwnedShard shard(ShardId id) {
    return shards.computeIfAbsent(id, this::open);
  }

  private OwnedShard open(ShardId id) {
    ShardCoordinator ledger = new ShardCoordinator(id, choice.placerFor(id), timings);
    return new OwnedShard(id, ledger, clock.millis());
  }

  private void send(List<ShardCoordinator.Outgoing> messages) {
    messages.forEach(sender);
  }
}
