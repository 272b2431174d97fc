package org.marjoramsail.daemon.settings;

import java.util.Map;

/**
 * How requests are forwarded as they are, before upstreams that register themselves.
 *
 * @param ready where the balancer asks whether this daemon is ready
 * @param regions the region of each availability zone
 * @param heartbeatMillis how often an upstream renews its entry, in milliseconds
 * @param retryRatio how many sends beyond the first a service may get for each of its requests
 * @param retryWindowSeconds over how many seconds that is counted
 * @param retrySlack how many more such sends there may be in that time, over all daemons
 * @param graceMillis how long this daemon may go on after it is told to stop, in milliseconds
 * @param leaseMillis how long one holder may give orders to an upstream alone, in milliseconds
 * @param fenced whether upstreams refuse orders that carry an old fencing token
 */
public record ForwardingSettings(
    Endpoint ready,
    Map<String, String> regions,
    long heartbeatMillis,
    double retryRatio,
    double retryWindowSeconds,
    int retrySlack,
    long graceMillis,
    long leaseMillis,
    boolean fenced) {

  /** Copies the map, so that the value cannot change. */
  public ForwardingSettings {
    regions = Map.copyOf(regions);
  }
}
