package org.marjoramsail.core.placement;

/** A placer that holds limits of organisations together with the placers of other shards. */
public interface UsageSharing {

  /** What the owners of other shards should hear. */
  OrganisationUsageMessage usage();

  /** Handles what the owner of another shard told of its usage. */
  void takeUsage(OrganisationUsageMessage message, long nowMillis);
}
