package org.marjoramsail.core.membership;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.Objects;
import org.marjoramsail.core.model.DaemonId;

/**
 * What one daemon tells another of a third. On the wire it is a list without field names, since
 * almost all bytes of membership are these; new components go to the end.
 *
 * @param host the host that it is about
 * @param incarnation the run that it is about
 * @param version raised by that daemon alone, each time that it refutes a suspicion
 * @param health whether it answers
 * @param departure how far it is on its way out
 * @param address the IP number on which it listens for daemons
 * @param port the TCP port on which it listens for daemons
 * @param availabilityZone where it runs
 * @param region the region of that availability zone
 * @param milliCores what its host gives it of a processor, in thousandths of a core; zero if
 *     unknown
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

  /** Takes components that are present. */
  public MemberUpdate {
    Objects.requireNonNull(host, "host");
    Objects.requireNonNull(health, "health");
    Objects.requireNonNull(departure, "departure");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(availabilityZone, "availabilityZone");
    Objects.requireNonNull(region, "region");
  }

  /** News of a daemon whose processor is not known. */
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

  /** The run that it is about. */
  public DaemonId id() {
    return new DaemonId(host, incarnation);
  }

  /** Where that daemon listens. */
  public PeerAddress listening() {
    return new PeerAddress(address, port);
  }

  /** An upper bound for its bytes on the wire when names are ASCII. */
  int estimatedBytes() {
    return NUMBER_AND_HEADER_BYTES
        + host.length()
        + address.length()
        + availabilityZone.length()
        + region.length();
  }
}
