package org.marjoramsail.core.placement;

import java.util.List;
import org.marjoramsail.core.configuration.UpstreamDefinition;
import org.marjoramsail.core.model.DaemonId;

/** Directory of the current owners and the upstreams of shards. */
@FunctionalInterface
public interface ShardDirectory {

  /**
   * Returns the daemons that may own a shard, in order of rank.
   *
   * @return at least one; the calling daemon itself is the last where all others fail
   */
  List<DaemonId> owners(ShardId shard);

  /** Returns the upstreams of a shard; empty where they are not known. */
  default List<UpstreamDefinition> upstreamsOf(ShardId shard) {
    return List.of();
  }
}
