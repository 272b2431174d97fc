package org.marjoramsail.daemon.settings;

import java.util.Map;
import java.util.Optional;
import org.marjoramsail.core.discovery.RetentionBounds;
import org.marjoramsail.core.placement.RetryLimits;

/**
 * How requests are forwarded as they are, before upstreams that register themselves.
 *
 * @param ready where the balancer asks whether this daemon is ready
 * @param relay where other daemons send calls that this one is to relay to upstreams; a free port
 *     on the address of {@code ready} if absent
 * @param regions the region of each availability zone
 * @param retryRatio how many sends beyond the first a service may get for each of its requests
 * @param retrySlack how many more such sends there may be in one window, over all daemons
 * @param graceSeconds how long this daemon may go on after it is told to stop, in seconds
 * @param leaseMillis how long one holder may give orders to an upstream alone, in milliseconds
 * @param recoveryMillis for how long after a disturbance a host may be behind, in milliseconds
 * @param configurationMillis within which time a change of the configuration has to be in force
 * @param drainMillis after which time an upstream that leaves must get no new work
 * @param heartbeatMillis at which interval upstreams renew their entries, in milliseconds
 * @param processorShare what the host gives this daemon of one core
 * @param processorSpeed how many times as fast as usual that core is
 * @param fenced whether upstreams refuse orders that carry an old fencing token
 * @param warmUp whether the request path is run before the first caller is served; for a start that
 *     nobody waits for
 */
public record ForwardingSettings(
    Endpoint ready,
    Optional<Endpoint> relay,
    Map<String, String> regions,
    double retryRatio,
    double retrySlack,
    double graceSeconds,
    double leaseMillis,
    double recoveryMillis,
    double configurationMillis,
    double drainMillis,
    double heartbeatMillis,
    double processorShare,
    double processorSpeed,
    boolean fenced,
    boolean warmUp) {

  private static final int ANY_PORT = 0;
  private static final double MILLIS_PER_SECOND = 1_000;
  private static final double MILLI_CORES_PER_CORE = 1_000;

  /** Copies the map, so that the value cannot change. */
  public ForwardingSettings {
    regions = Map.copyOf(regions);
  }

  /** Returns where calls of other daemons are taken that this one is to relay. */
  public Endpoint relayEndpoint() {
    return relay.orElse(new Endpoint(ready.address(), ANY_PORT));
  }

  /** What the host gives this daemon of a processor, in thousandths of a usual core. */
  public int milliCores() {
    double cores = Math.min(processorShare * processorSpeed, Integer.MAX_VALUE);
    return (int) Math.min(Integer.MAX_VALUE, Math.max(1, cores * MILLI_CORES_PER_CORE));
  }

  /** Returns what decides how long upstreams without an entry are kept after an outage. */
  public RetentionBounds retentionBounds() {
    return new RetentionBounds(Math.round(recoveryMillis), Math.round(heartbeatMillis));
  }

  /** Returns the retries that all daemons together may make. */
  public RetryLimits retryLimits() {
    return new RetryLimits(retryRatio, retrySlack);
  }

  /** How long this daemon may go on after it is told to stop, in milliseconds. */
  public long graceMillis() {
    return (long) (graceSeconds * MILLIS_PER_SECOND);
  }
}
