package org.marjoramsail.core.membership;

import java.util.Optional;
import org.marjoramsail.core.discovery.StoreRevision;

/** A call of the store that {@link HostLeases} requests; the caller reports its outcome to them. */
public sealed interface HostLeaseCall {

  /** Reads the records of all hosts. */
  record ReadAll() implements HostLeaseCall {}

  /**
   * Renews the record of the own host by a conditional update.
   *
   * @param host name of the host
   * @param listening the address on which its daemon listens for other daemons
   * @param hasLeft whether this is the last renewal before the daemon ends
   * @param replaced the revision to replace; empty to create the record
   */
  record Renew(
      String host, PeerAddress listening, boolean hasLeft, Optional<StoreRevision> replaced)
      implements HostLeaseCall {}

  /**
   * Removes the record of a host that no longer renews it, unless it was renewed meanwhile.
   *
   * @param record the record as it was read
   */
  record Remove(HostRecord record) implements HostLeaseCall {}
}
