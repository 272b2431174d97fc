package org.marjoramsail.daemon.placement;

import io.micrometer.core.instrument.MeterRegistry;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.placement.AcceptedFeedback;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacementResult;
import org.marjoramsail.core.placement.PlacementTimings;
import org.marjoramsail.core.placement.Placer;
import org.marjoramsail.core.placement.PlacerEvent;
import org.marjoramsail.core.placement.RetryBudget;
import org.marjoramsail.core.placement.RetryLimits;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;
import org.marjoramsail.core.placement.UsageHistory;
import org.marjoramsail.core.placement.UsageSharing;
import org.marjoramsail.core.time.Clock;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The shards that this daemon owns.
 *
 * <p>A shard is opened by the first message about it, even if another daemon ranks first for it: an
 * entry whose first-ranked owner does not respond must be served by the next one, before all
 * daemons have detected the failure.
 */
final class OwnedShards {

  private static final Logger LOG = LoggerFactory.getLogger(OwnedShards.class);

  /** Time after which a shard without requests is closed, in milliseconds. */
  private static final long IDLE_MILLIS = 10_000;

  private static final long REFUSED_RETRIES_LOG_MILLIS = 1_000;

  /** Period in which the gauges of upstreams are refreshed, in milliseconds. */
  private static final long GAUGES_MILLIS = 2_000;

  private final DaemonId self;
  private final ShardTopology topology;
  private final PlacementTimings timings;
  private final RetryLimits retryLimits;
  private final Clock clock;
  private final MeterRegistry meters;
  private final Consumer<ShardCoordinator.Outgoing> sender;
  private final UsageHistory usageHistory;
  private final Map<ShardId, OwnedShard> shards = new ConcurrentHashMap<>();
  private volatile Optional<MembershipView> view = Optional.empty();
  private final OwnerMeters ownerMeters;
  private long refusedRetriesLoggedMillis;
  private long gaugesRefreshedMillis;

  OwnedShards(
      DaemonId self,
      ShardTopology topology,
      PlacementTimings timings,
      RetryLimits retryLimits,
      Clock clock,
      MeterRegistry meters,
      Consumer<ShardCoordinator.Outgoing> sender) {
    this.self = self;
    this.topology = topology;
    this.timings = timings;
    this.retryLimits = retryLimits;
    this.clock = clock;
    this.meters = meters;
    this.ownerMeters = new OwnerMeters(meters);
    this.usageHistory = new UsageHistory(clock.millis());
    this.sender = sender;
  }

  void handle(DaemonId from, PlacementMessage message) {
    message.conditions().forEach(ownerMeters::relayed);
    send(shard(message.shard()).handle(from, message, clock.millis()));
  }

  /** Applies an event to one shard, and opens the shard if necessary. */
  void apply(ShardId shard, PlacerEvent event) {
    send(shard(shard).apply(event, clock.millis()));
  }

  void applyToAll(PlacerEvent event) {
    shards.values().forEach(shard -> send(shard.apply(event, clock.millis())));
  }

  /** Applies a newer configuration. */
  void configure(Configuration configuration) {
    usageHistory.configure(configuration);
    applyToAll((placer, now) -> placer.configure(configuration, now));
    updateRetrySlack();
  }

  /** Applies the usage of organisations that the owner of a shard sent. */
  void receiveUsage(OrganisationUsageMessage usage) {
    usageHistory.receive(usage, clock.millis());
    applyToAll(
        (placer, now) -> {
          if (placer instanceof UsageSharing sharing) {
            sharing.receiveUsage(usage, now);
          }
          return List.of();
        });
  }

  void daemonFailed(DaemonId daemon) {
    shards.values().forEach(shard -> send(shard.daemonFailed(daemon, clock.millis())));
  }

  void daemonRecovered(DaemonId daemon) {
    shards.values().forEach(shard -> shard.daemonRecovered(daemon));
  }

  /** Applies a newer membership view to the shares of the limits of the fleet. */
  void updateMembership(MembershipView newView) {
    view = Optional.of(newView);
    shards.values().forEach(this::updateFleetShare);
    updateRetrySlack();
  }

  private void updateFleetShare(OwnedShard shard) {
    view.ifPresent(known -> shard.fleetChanged(known, isFirstOwner(shard), clock.millis()));
  }

  /** Applies a change of the configuration or of the ranking of daemons to the retry budgets. */
  private void updateRetrySlack() {
    shards.values().forEach(this::updateRetrySlack);
  }

  private void updateRetrySlack(OwnedShard shard) {
    int shardCount = Math.max(1, topology.shardCount(shard.shard().service()));
    double share = isFirstOwner(shard) ? retrySlackShare() / shardCount : 0;
    if (share != shard.retrySlackShare()) {
      LOG.atInfo()
          .addKeyValue("shard", shard.shard())
          .addKeyValue("before", shard.retrySlackShare())
          .addKeyValue("share", share)
          .addKeyValue("fleetKnown", view.map(MembershipView::isFleetKnown).orElse(false))
          .addKeyValue("retries", shard.describeRetries(clock.millis()))
          .log("share of the retry slack changed");
      shard.retrySlackShare(share, clock.millis());
    }
  }

  /** Returns the part of the retry slack that the daemons visible to this one may use. */
  private double retrySlackShare() {
    return view.filter(known -> !known.isAlone() && known.isFleetKnown())
        .map(MembershipView::budgetShare)
        .orElse(0.0);
  }

  /**
   * Returns the retries that are available in the shards of a service for which this ranks first.
   */
  int availableRetries(String service) {
    return shards.values().stream()
        .filter(shard -> shard.shard().service().equals(service) && isFirstOwner(shard))
        .mapToInt(shard -> shard.availableRetries(clock.millis()))
        .sum();
  }

  void tick() {
    long now = clock.millis();
    shards.values().forEach(shard -> send(shard.tick(now)));
    shards.values().forEach(OwnedShards::log);
    shards.values().forEach(this::countGrantedRetries);
    shards.values().forEach(shard -> ownerMeters.add(shard.takeStatistics()));
    refreshGauges(now);
    logRefusedRetries(now);
    shards
        .values()
        .removeIf(shard -> !isFirstOwner(shard) && shard.isUnusedSince(now - IDLE_MILLIS));
  }

  /**
   * Returns whether this daemon ranks first for a shard, which then stays open without requests.
   *
   * <p>Guards against the failure in which the first request after an idle period is refused: a
   * newly opened shard has no load reports and waits as after a change of owner, longer than the
   * deadline of a short request. The first-ranked owner keeps applying reports to its open shards.
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

  /** Returns the recommended role changes in the shards for which this daemon ranks first. */
  List<RoleChange> recommendedRoleChanges() {
    return shards.values().stream()
        .filter(this::isFirstOwner)
        .flatMap(shard -> shard.recommendedRoleChange(clock.millis()).stream())
        .toList();
  }

  Collection<ShardId> ids() {
    return List.copyOf(shards.keySet());
  }

  /** Returns the usage of organisations in each owned shard, for the owners of other shards. */
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

  /** Returns the views of the shards in which a request waits. */
  List<ShardView> viewsWithWaitingRequests() {
    return shards.values().stream()
        .filter(OwnedShard::isWaiting)
        .map(shard -> shard.view(clock.millis()))
        .toList();
  }

  /**
   * Returns the view of a shard that is not open, as it would be if opened now with these events.
   */
  ShardView idleView(ShardId shard, List<PlacerEvent> events) {
    OwnedShard idleShard = open(shard);
    events.forEach(event -> idleShard.apply(event, clock.millis()));
    return idleShard.view(clock.millis());
  }

  private void countGrantedRetries(OwnedShard shard) {
    int granted = shard.takeGrantedRetries();
    if (granted > 0) {
      meters
          .counter("marjoramsail.retries.granted", "service", shard.shard().service())
          .increment(granted);
    }
  }

  private void refreshGauges(long nowMillis) {
    if (nowMillis - gaugesRefreshedMillis < GAUGES_MILLIS) {
      return;
    }
    gaugesRefreshedMillis = nowMillis;
    ownerMeters.show(
        shards.values().stream()
            .flatMap(shard -> shard.upstreamViews(nowMillis).stream())
            .toList());
  }

  /** Logs the refused retries of each shard, at most once in a period. */
  private void logRefusedRetries(long nowMillis) {
    if (nowMillis - refusedRetriesLoggedMillis < REFUSED_RETRIES_LOG_MILLIS) {
      return;
    }
    refusedRetriesLoggedMillis = nowMillis;
    for (OwnedShard shard : shards.values()) {
      int refused = shard.takeRefusedRetries();
      if (refused > 0) {
        LOG.atInfo()
            .addKeyValue("shard", shard.shard())
            .addKeyValue("refused", refused)
            .addKeyValue("retries", shard.describeRetries(nowMillis))
            .log("retries refused");
      }
    }
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
    return shards.computeIfAbsent(id, this::openForUse);
  }

  private OwnedShard openForUse(ShardId id) {
    OwnedShard shard = open(id);
    shard.apply((placer, now) -> inheritCredits(id, placer, now), clock.millis());
    updateFleetShare(shard);
    updateRetrySlack(shard);
    return shard;
  }

  private List<PlacementResult> inheritCredits(ShardId id, Placer placer, long nowMillis) {
    if (placer instanceof UsageSharing sharing) {
      sharing.inherit(usageHistory.creditsFor(id, nowMillis));
    }
    return List.of();
  }

  private OwnedShard open(ShardId id) {
    RetryBudget retries = new RetryBudget(retryLimits);
    ShardCoordinator coordinator =
        new ShardCoordinator(id, topology.placerFor(id), timings, retries);
    return new OwnedShard(id, coordinator, retries, clock.millis());
  }

  private void send(List<ShardCoordinator.Outgoing> messages) {
    messages.forEach(sender);
  }
}
