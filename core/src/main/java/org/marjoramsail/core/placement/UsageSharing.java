package org.marjoramsail.core.placement;

/** Placer that enforces limits of organisations together with the placers of other shards. */
public interface UsageSharing {

  /**
   * Returns the usage to send to the owners of other shards; it has no entries if none has to be
   * sent.
   */
  OrganisationUsageMessage usage(long nowMillis);

  /** Handles the usage that the owner of another shard sent. */
  void receiveUsage(OrganisationUsageMessage message, long nowMillis);

  /**
   * Sets the share of the daemons that this owner sees; the other daemons may own the same shards.
   */
  void fleetShare(double share, long nowMillis);
}
