package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.model.DaemonId;

/**
 * What a daemon tells others of itself, and how it listens for them.
 *
 * @param listenAddress the IP number to listen on, by which others reach it
 * @param port the TCP port to listen on; zero for one that the system chooses
 * @param cluster the name of the fleet; daemons of other fleets are refused
 * @param clusterKey the secret of the fleet, proven in each handshake and never sent
 * @param self this run of this daemon
 * @param availabilityZone where it runs
 * @param region the region of that availability zone
 * @param bounds what it spends at most
 * @param milliCores what the host gives it of a processor, in thousandths of a core; zero if
 *     unknown
 */
public record PeerSettings(
    String listenAddress,
    int port,
    String cluster,
    String clusterKey,
    DaemonId self,
    String availabilityZone,
    String region,
    PeerBounds bounds,
    int milliCores) {

  /** A daemon that does not know what its host gives it of a processor. */
  public PeerSettings(
      String listenAddress,
      int port,
      String cluster,
      String clusterKey,
      DaemonId self,
      String availabilityZone,
      String region,
      PeerBounds bounds) {
    this(listenAddress, port, cluster, clusterKey, self, availabilityZone, region, bounds, 0);
  }

  /** Names the daemon without the secret, which must not reach a log. */
  @Override
  public String toString() {
    return "PeerSettings[" + self + " of " + cluster + " on " + listenAddress + ":" + port + "]";
  }
}
