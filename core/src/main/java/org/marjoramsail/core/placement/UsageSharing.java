package org.marjoramsail.core.placement;

/** A placer that holds limits of organisations together with the placers of other shards. */
public interface UsageSharing {

  /** What the owners of other shards should hear. */
  OrganisationUsageMessage usage(long nowMillis);

  /** Handles what the owner of another shard told of its usage. */
  void receiveUsage(OrganisationUsageMessage message, long nowMillis);

  /** Sets which part of the daemons this owner sees; the others may decide for the same shards. */
  void fleetShare(double share, long nowMillis);
}
