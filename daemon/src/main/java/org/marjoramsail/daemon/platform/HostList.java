package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;
import java.util.Objects;

/**
 * The platform's list of hosts.
 *
 * @param hosts the hosts
 * @param ageMillis how old the platform says that the list is, in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record HostList(List<HostEntry> hosts, long ageMillis) {

  /** Copies the hosts, so that the value cannot change; an answer without them is no list. */
  public HostList {
    hosts = List.copyOf(Objects.requireNonNull(hosts, "hosts"));
  }
}
