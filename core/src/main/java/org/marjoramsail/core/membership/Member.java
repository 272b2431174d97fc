package org.marjoramsail.core.membership;

import org.marjoramsail.core.model.DaemonId;

/**
 * One daemon as another sees it.
 *
 * @param id its run
 * @param address the IP number on which it listens for daemons
 * @param port the TCP port on which it listens for daemons
 * @param availabilityZone where it runs
 * @param region the region of that availability zone
 * @param state what is believed of it
 */
public record Member(
    DaemonId id,
    String address,
    int port,
    String availabilityZone,
    String region,
    MemberState state) {}
