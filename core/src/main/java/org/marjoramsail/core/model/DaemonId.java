package org.marjoramsail.core.model;

/**
 * Identifier of one run of a daemon.
 *
 * @param host the name of the host that it runs on, from its settings
 * @param incarnation the start time in milliseconds, which rises with each start of a daemon on
 *     that host
 */
public record DaemonId(String host, long incarnation) implements Comparable<DaemonId> {

  @Override
  public int compareTo(DaemonId other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Long.compare(incarnation, other.incarnation);
  }

  /** Returns whether both are runs on the same host and this one started later. */
  public boolean supersedes(DaemonId other) {
    return host.equals(other.host) && incarnation > other.incarnation;
  }

  @Override
  public String toString() {
    return host + "@" + incarnation;
  }
}
