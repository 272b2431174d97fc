package org.marjoramsail.core.placement;

import java.util.Map;

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
   * Sets the credits of organisations that the predecessor of this owner left; called before the
   * first attempt is placed.
   */
  void inherit(Map<String, OrganisationCredit> credits);

  /**
   * Sets the share of the daemons that this owner sees; the other daemons may own the same shards.
   */
  default void fleetShare(double share, long nowMillis) {
    fleetShare(share, false, nowMillis);
  }

  /**
   * Sets the share of the daemons that this owner serves.
   *
   * @param isProvisional whether the share is about to change, because daemons do not agree yet on
   *     the owner
   */
  void fleetShare(double share, boolean isProvisional, long nowMillis);
}
