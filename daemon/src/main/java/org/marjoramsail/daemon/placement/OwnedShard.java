package org.marjoramsail.daemon.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.placement.AcceptedFeedback;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacerEvent;
import org.marjoramsail.core.placement.RetryBudget;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardStatistics;
import org.marjoramsail.core.placement.ShardView;

/** A shard that this daemon owns; its lock guards the coordinator. */
final class OwnedShard {

  private final ShardId shard;
  private final ShardCoordinator coordinator;
  private final RetryBudget retries;
  private long lastUsedMillis;

  OwnedShard(ShardId shard, ShardCoordinator coordinator, RetryBudget retries, long nowMillis) {
    this.shard = shard;
    this.coordinator = coordinator;
    this.retries = retries;
    this.lastUsedMillis = nowMillis;
  }

  ShardId shard() {
    return shard;
  }

  synchronized List<ShardCoordinator.Outgoing> handle(
      DaemonId from, PlacementMessage message, long nowMillis) {
    lastUsedMillis = nowMillis;
    return coordinator.handle(from, message, nowMillis);
  }

  synchronized void fleetChanged(MembershipView view, boolean ranksFirst, long nowMillis) {
    coordinator.fleetChanged(view, ranksFirst, nowMillis);
  }

  /** Sets the share of the fleet's retry slack that this shard uses. */
  synchronized void retrySlackShare(double share, long nowMillis) {
    retries.slackShare(share, nowMillis);
  }

  /** Returns the share of the fleet's retry slack that this shard uses or will use. */
  synchronized double retrySlackShare() {
    return retries.slackShare();
  }

  /** Returns the number of attempts whose retry was refused since the last call. */
  synchronized int takeGrantedRetries() {
    return retries.takeGranted();
  }

  synchronized int takeRefusedRetries() {
    return retries.takeRefused();
  }

  synchronized String describeRetries(long nowMillis) {
    return retries.describe(nowMillis);
  }

  synchronized int availableRetries(long nowMillis) {
    return retries.available(nowMillis);
  }

  synchronized List<ShardCoordinator.Outgoing> apply(PlacerEvent event, long nowMillis) {
    return coordinator.apply(event, nowMillis);
  }

  synchronized List<ShardCoordinator.Outgoing> daemonFailed(DaemonId daemon, long nowMillis) {
    return coordinator.daemonFailed(daemon, nowMillis);
  }

  synchronized void daemonRecovered(DaemonId daemon) {
    coordinator.daemonRecovered(daemon);
  }

  synchronized List<ShardCoordinator.Outgoing> tick(long nowMillis) {
    if (!coordinator.isEmpty()) {
      lastUsedMillis = nowMillis;
    }
    return coordinator.tick(nowMillis);
  }

  synchronized Optional<OrganisationUsageMessage> usage(long nowMillis) {
    return coordinator.usage(nowMillis);
  }

  synchronized List<AcceptedFeedback> takeAcceptedFeedback() {
    return coordinator.takeAcceptedFeedback();
  }

  synchronized ShardStatistics takeStatistics() {
    return coordinator.takeStatistics();
  }

  synchronized List<ShardView.UpstreamView> upstreamViews(long nowMillis) {
    return coordinator.upstreamViews(nowMillis);
  }

  synchronized boolean isEmpty() {
    return coordinator.isEmpty();
  }

  synchronized Optional<RoleChange> recommendedRoleChange(long nowMillis) {
    return coordinator.recommendedRoleChange(nowMillis);
  }

  synchronized boolean isWaiting() {
    return coordinator.isWaiting();
  }

  synchronized ShardView view(long nowMillis) {
    return coordinator.view(nowMillis);
  }

  synchronized boolean isUnusedSince(long millis) {
    return coordinator.isEmpty() && lastUsedMillis < millis;
  }
}
