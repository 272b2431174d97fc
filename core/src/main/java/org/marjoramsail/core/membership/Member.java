package org.marjoramsail.core.membership;

import org.marjoramsail.core.model.DaemonId;

/**
 * State of a daemon as observed by another daemon.
 *
 * @param id its identifier, with its incarnation
 * @param address the IP address on which it listens for other daemons
 * @param port the TCP port on which it listens for other daemons
 * @param availabilityZone its availability zone
 * @param region the region of that availability zone
 * @param state its observed state
 * @param milliCores processor capacity available to it, in thousandths of a core; zero if unknown
 */
public record Member(
    DaemonId id,
    String address,
    int port,
    String availabilityZone,
    String region,
    MemberState state,
    int milliCores) {

  /** Creates a member with unknown processor capacity. */
  public Member(
      DaemonId id,
      String address,
      int port,
      String availabilityZone,
      String region,
      MemberState state) {
    this(id, address, port, availabilityZone, region, state, 0);
  }
}
