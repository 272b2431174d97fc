package org.marjoramsail.command.platform;

import java.util.List;

/**
 * Size, load and faults of a soak on the platform's path.
 *
 * @param daemons number of daemons, each a process
 * @param prefillServers number of engines that prefill
 * @param decodeServers number of engines that generate
 * @param plainServers number of plain servers
 * @param retrySlack retries that all daemons may make in a window in addition to the ratio
 * @param streamsPerSecond streams that callers send
 * @param plainPerSecond plain requests that callers send
 * @param seconds duration of the load
 * @param seed seed of the load and of the faults
 * @param faults kinds of faults that may happen
 * @param pathMillis constant time from callers to daemons, from daemons to servers, and back
 * @param keptPerSecond most requests that callers send on connections that they keep busy
 * @param leavingPerSecond requests whose callers leave before the response is complete
 */
public record PlatformSoakSetup(
    int daemons,
    int prefillServers,
    int decodeServers,
    int plainServers,
    double retrySlack,
    double streamsPerSecond,
    double plainPerSecond,
    int seconds,
    long seed,
    List<PlatformFault> faults,
    long pathMillis,
    double keptPerSecond,
    double leavingPerSecond) {

  /** Copies the list, so that the value is immutable. */
  public PlatformSoakSetup {
    faults = List.copyOf(faults);
  }

  /**
   * Creates a setup with paths that take no time, without connections that are kept busy and
   * without callers that leave.
   */
  public PlatformSoakSetup(
      int daemons,
      int prefillServers,
      int decodeServers,
      int plainServers,
      double retrySlack,
      double streamsPerSecond,
      double plainPerSecond,
      int seconds,
      long seed,
      List<PlatformFault> faults) {
    this(
        daemons,
        prefillServers,
        decodeServers,
        plainServers,
        retrySlack,
        streamsPerSecond,
        plainPerSecond,
        seconds,
        seed,
        faults,
        0,
        0,
        0);
  }

  /** Returns this setup with another time of the paths and another rate on kept connections. */
  public PlatformSoakSetup withConnections(long millis, double perSecond) {
    return new PlatformSoakSetup(
        daemons,
        prefillServers,
        decodeServers,
        plainServers,
        retrySlack,
        streamsPerSecond,
        plainPerSecond,
        seconds,
        seed,
        faults,
        millis,
        perSecond,
        leavingPerSecond);
  }

  /** Returns this setup with another rate of requests whose callers leave. */
  public PlatformSoakSetup withLeavingCallers(double perSecond) {
    return new PlatformSoakSetup(
        daemons,
        prefillServers,
        decodeServers,
        plainServers,
        retrySlack,
        streamsPerSecond,
        plainPerSecond,
        seconds,
        seed,
        faults,
        pathMillis,
        keptPerSecond,
        perSecond);
  }
}
