package org.marjoramsail.core.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;
import org.marjoramsail.core.model.DaemonId;

/**
 * Update on the state of a daemon, as disseminated between daemons. It is serialised as an array
 * without field names, since updates are most of the traffic of the failure detector. New
 * components have to be added at the end.
 *
 * @param host the host of the daemon
 * @param incarnation the incarnation of the daemon
 * @param version increased only by the daemon itself, whenever it refutes a suspicion
 * @param health the health of the daemon
 * @param departure the progress of its departure
 * @param address the IP address on which it listens for other daemons
 * @param port the TCP port on which it listens for other daemons
 * @param availabilityZone its availability zone
 * @param region the region of that availability zone
 * @param milliCores processor capacity available to it, in thousandths of a core; zero if unknown
 */
@JsonFormat(shape = JsonFormat.Shape.ARRAY)
@JsonIgnoreProperties(ignoreUnknown = true)
public record MemberUpdate(
    String host,
    long incarnation,
    int version,
    Health health,
    Departure departure,
    String address,
    int port,
    String availabilityZone,
    String region,
    int milliCores) {

  private static final int NUMBER_AND_HEADER_BYTES = 40;

  /** Requires that all components are present. */
  public MemberUpdate {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(health, "health");
    Objects.requireNonNull(departure, "departure");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(availabilityZone, "availabilityZone");
    Objects.requireNonNull(region, "region");
  }

  /** Creates an update with unknown processor capacity. */
  public MemberUpdate(
      String host,
      long incarnation,
      int version,
      Health health,
      Departure departure,
      String address,
      int port,
      String availabilityZone,
      String region) {
    this(host, incarnation, version, health, departure, address, port, availabilityZone, region, 0);
  }

  /** Returns the identifier of the daemon, with its incarnation. */
  public DaemonId id() {
    return new DaemonId(host, incarnation);
  }

  /** Returns the address on which the daemon listens. */
  public PeerAddress listening() {
    return new PeerAddress(address, port);
  }

  /** Returns an upper bound of the serialised size in bytes, for ASCII names. */
  int estimatedBytes() {
    return NUMBER_AND_HEADER_BYTES
        + host.length()
        + address.length()
        + availabilityZone.length()
        + region.length();
  }
}
