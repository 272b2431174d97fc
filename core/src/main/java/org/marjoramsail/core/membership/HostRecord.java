package org.marjoramsail.core.membership;

import org.marjoramsail.core.discovery.StoreRevision;

/**
 * Record of a host in the store, by which other hosts count it as part of the fleet.
 *
 * @param host name of the host
 * @param listening the address on which its daemon listens for other daemons
 * @param hasLeft whether its daemon announced its end; it may be about to start again
 * @param revision the state of the store at the last renewal
 */
public record HostRecord(
    String host, PeerAddress listening, boolean hasLeft, StoreRevision revision) {}
