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

/** How requests and upstreams belong to shards, and how a shard decides. */
public interface ShardTopology extends ShardDirectory {

  /** The shard of a request; empty where its service has no upstreams that this daemon reaches. */
  Optional<ShardId> shardFor(PlacementRequest request);

  /** The shard that an upstream belongs to. */
  Optional<ShardId> shardOf(UpstreamName upstream);

  /** The shards that there are in the region of this daemon. */
  List<ShardId> shards();

  /** The upstreams of a shard; empty for one that the configuration does not have. */
  @Override
  List<UpstreamDefinition> upstreamsOf(ShardId shard);

  /** A placer for a shard that this daemon begins to own. */
  Placer placerFor(ShardId shard);

  /** Applies a newer configuration. */
  void configure(Configuration configuration);

  /** Handles a newer view of the daemons. */
  void updateMembership(MembershipView view);
}
