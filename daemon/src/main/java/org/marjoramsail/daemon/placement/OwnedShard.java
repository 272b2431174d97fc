package org.marjoramsail.daemon.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.model.DaemonId;
import org.marjoramsail.core.placement.AcceptedFeedback;
import org.marjoramsail.core.placement.OrganisationUsageMessage;
import org.marjoramsail.core.placement.PlacementMessage;
import org.marjoramsail.core.placement.PlacerEvent;
import org.marjoramsail.core.placement.RoleChange;
import org.marjoramsail.core.placement.ShardCoordinator;
import org.marjoramsail.core.placement.ShardId;
import org.marjoramsail.core.placement.ShardView;

/** One shard that this daemon decides for, under its own lock. */
final class OwnedShard {

  private final ShardId shard;
  private final ShardCoordinator ledger;
  private long usedMillis;

  OwnedShard(ShardId shard, ShardCoordinator ledger, long nowMillis) {
    this.shard = shard;
    this.ledger = ledger;
    this.usedMillis = nowMillis;
  }

  ShardId shard() {
    return shard;
  }

  synchronized List<ShardCoordinator.Outgoing> handle(
      DaemonId from, PlacementMessage message, long nowMillis) {
    usedMillis = nowMillis;
    return ledger.handle(from, message, nowMillis);
  }

  synchronized List<ShardCoordinator.Outgoing> inform(PlacerEvent event, long nowMillis) {
    return ledger.apply(event, nowMillis);
  }

  synchronized List<ShardCoordinator.Outgoing> daemonFailed(DaemonId daemon, long nowMillis) {
    return ledger.daemonFailed(daemon, nowMillis);
  }

  synchronized void daemonRecovered(DaemonId daemon) {
    ledger.daemonRecovered(daemon);
  }

  synchronized List<ShardCoordinator.Outgoing> tick(long nowMillis) {
    if (!ledger.isEmpty()) {
      usedMillis = nowMillis;
    }
    return ledger.tick(nowMillis);
  }

  synchronized Optional<OrganisationUsageMessage> usage(long nowMillis) {
    return ledger.usage(nowMillis);
  }

  synchronized List<AcceptedFeedback> takeAcceptedFeedback() {
    return ledger.takeAcceptedFeedback();
  }

  synchronized boolean isEmpty() {
    return ledger.isEmpty();
  }

  synchronized Optional<RoleChange> wantedRoleChange(long nowMillis) {
    return ledger.recommendedRoleChange(nowMillis);
  }

  synchronized boolean isWaiting() {
    return ledger.isWaiting();
  }

  synchronized ShardView view(long nowMillis) {
    return ledger.view(nowMillis);
  }

  synchronized boolean isUnusedSince(long millis) {
    return ledger.isEmpty() && usedMillis < millis;
  }
}
