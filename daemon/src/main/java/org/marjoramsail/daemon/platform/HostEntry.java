package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;

/**
 * A host as the platform lists it, some time ago.
 *
 * @param name unique
 * @param kind what runs on it
 * @param address an IP number
 * @param port a TCP port
 * @param availabilityZone where it stands
 * @param region the region of that availability zone
 * @param state whether it stays
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record HostEntry(
    String name,
    Kind kind,
    String address,
    int port,
    String availabilityZone,
    String region,
    State state) {

  /** What runs on a host. */
  public enum Kind {
    /** A daemon of the system. */
    @JsonProperty("daemon")
    DAEMON,
    /** A model engine or a plain service. */
    @JsonProperty("upstream")
    UPSTREAM
  }

  /** Whether a host stays. */
  public enum State {
    /** It runs. */
    @JsonProperty("live")
    LIVE,
    /** It is about to be taken away. */
    @JsonProperty("leaving")
    LEAVING
  }
}
