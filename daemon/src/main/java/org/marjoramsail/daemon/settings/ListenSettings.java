package org.marjoramsail.daemon.settings;

/**
 * Where the daemon listens.
 *
 * @param caller for callers
 * @param operator for operators, metrics and health checks
 * @param peer for other daemons
 */
public record ListenSettings(Endpoint caller, Endpoint operator, Endpoint peer) {

  /** Ports chosen by the system on one address, for tests and demonstrations. */
  public static ListenSettings onFreePorts(String address) {
    Endpoint free = new Endpoint(address, 0);
    return new ListenSettings(free, free, free);
  }
}
