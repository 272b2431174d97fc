package org.marjoramsail.daemon.placement;

import java.util.List;
import java.util.Optional;
import org.marjoramsail.core.configuration.Configuration;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.membership.MembershipView;
import org.marjoramsail.core.model.UpstreamName;
import org.marjoramsail.core.placement.PlacementRequest;
import org.marjoramsail.core.placement.Placer;
import org.marjoramsail.core.placement.ShardDirectory;
import org.marjoramsail.core.placement.ShardId;

/** Maps requests and upstreams to shards, and creates the placers of shards. */
public interface ShardTopology extends ShardDirectory {

  /** Returns the shard of a request; empty if no shard serves it. */
  Optional<ShardId> shardFor(PlacementRequest request);

  /** Returns the shard that an upstream belongs to; empty if the upstream is not configured. */
  Optional<ShardId> shardOf(UpstreamName upstream);

  /** Returns the shards in the region of this daemon. */
  List<ShardId> shards();

  /** Returns the number of shards of a service, over all regions. */
  int shardCount(String service);

  /** Returns the upstreams of a shard; empty if the shard is not in the configuration. */
  @Override
  List<UpstreamDefinition> upstreamsOf(ShardId shard);

  /** Creates the placer of a shard that this daemon opens. */
  Placer placerFor(ShardId shard);

  /** Applies a newer configuration. */
  void configure(Configuration configuration);

  /** Applies a newer membership view. */
  void updateMembership(MembershipView view);
}
