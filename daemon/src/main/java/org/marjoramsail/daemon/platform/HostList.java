package org.marjoramsail.daemon.platform;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import java.util.List;

/**
 * The platform's list of hosts.
 *
 * @param hosts the hosts
 * @param ageMillis how old the platform says that the list is, in milliseconds
 */
@JsonIgnoreProperties(ignoreUnknown = true)
public record HostList(List<HostEntry> hosts, long ageMillis) {

  /** Copies the list, so that the value cannot change. */
  public HostList {
    hosts = hosts == null ? List.of() : List.copyOf(hosts);
  }
}
