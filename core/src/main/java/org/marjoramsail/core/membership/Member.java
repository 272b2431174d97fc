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
 * @param milliCores what its host gives it of a processor, in thousandths of a core; zero if
 *     unknown
 */
public record Member(
    DaemonId id,
    String address,
    int port,
    String availabilityZone,
    String region,
    MemberState state,
    int milliCores) {

  /** A daemon whose processor is not known. */
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
