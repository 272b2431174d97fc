package org.marjoramsail.core.model;

/**
 * One run of one daemon.
 *
 * @param host the name of the host that it runs on, from its settings
 * @param incarnation rises each time a daemon starts on that host name; the start time in
 *     milliseconds
 */
public record DaemonId(String host, long incarnation) implements Comparable<DaemonId> {

  @Override
  public int compareTo(DaemonId other) {
    int byHost = host.compareTo(other.host);
    return byHost != 0 ? byHost : Long.compare(incarnation, other.incarnation);
  }

  /** Whether both are runs of the same host and this one started later. */
  public boolean supersedes(DaemonId other) {
    return host.equals(other.host) && incarnation > other.incarnation;
  }

  @Override
  public String toString() {
    return host + "@" + incarnation;
  }
}
