package org.marjoramsail.daemon.peer;

import org.marjoramsail.core.model.DaemonId;

/**
 * Identity of a daemon towards its peers, and settings of its connections.
 *
 * @param listenAddress the IP address to listen on, which peers connect to
 * @param port the TCP port to listen on; zero lets the system choose one
 * @param cluster the name of the cluster; daemons of other clusters are refused
 * @param clusterKey the shared secret of the cluster, proven in each handshake and never sent
 * @param self this incarnation of the daemon
 * @param availabilityZone the availability zone of the host
 * @param region the region of that availability zone
 * @param bounds the limits of its connections
 * @param milliCores the processor capacity available to it, in thousandths of a core; zero if
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

  /** Creates settings with an unknown processor capacity. */
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

  /** Returns a text without the cluster key, which must not be logged. */
  @Override
  public String toString() {
    return "PeerSettings[" + self + " of " + cluster + " on " + listenAddress + ":" + port + "]";
  }
}
