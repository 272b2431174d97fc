package org.marjoramsail.standin.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Requests that reach an upstream although the store acknowledged some time before that it drains.
 *
 * <p>An arrival counts if the store was calm at the acknowledgement, and if the store, the host
 * that sent the request and the path to the upstream are calm at the arrival. Not thread-safe.
 */
public final class DrainLog {

  /**
   * A request that arrived too late.
   *
   * @param request the request
   * @param host the host that sent it
   * @param upstream the upstream
   * @param afterMillis time between the acknowledgement and the arrival
   */
  public record LateArrival(String request, String host, String upstream, long afterMillis) {}

  /** Name of the store among the disturbed parts. */
  public static final String STORE = "store";

  private final long boundMillis;
  private final Disturbances disturbances;
  private final Map<String, Long> acknowledged = new HashMap<>();
  private final Map<String, String> hosts = new HashMap<>();
  private final List<LateArrival> late = new ArrayList<>();
  private int arrivals;

  /**
   * Creates an empty log.
   *
   * @param boundMillis time after an acknowledgement in which requests may still arrive
   * @param disturbances which hosts and upstreams were recently disturbed, by their names
   */
  public DrainLog(long boundMillis, Disturbances disturbances) {
    this.boundMillis = boundMillis;
    this.disturbances = disturbances;
  }

  /** Records that a caller sends a request to a host. */
  public void requested(String request, String host) {
    hosts.put(request, host);
  }

  /** Records that the store acknowledges the draining or the removal of an upstream. */
  public void acknowledged(String upstream, long nowMillis) {
    if (disturbances.isCalm(STORE, nowMillis)) {
      acknowledged.putIfAbsent(upstream, nowMillis);
    }
  }

  /** Records that a request arrives at an upstream. */
  public void arrived(String request, String upstream, long nowMillis) {
    Long since = acknowledged.get(upstream);
    String host = hosts.getOrDefault(request, "");
    if (since == null) {
      return;
    }
    arrivals++;
    boolean isCounted =
        disturbances.isCalm(STORE, nowMillis)
            && disturbances.isCalm(host, nowMillis)
            && disturbances.isCalm(upstream, nowMillis);
    if (isCounted && nowMillis - since > boundMillis) {
      late.add(new LateArrival(request, host, upstream, nowMillis - since));
    }
  }

  /** Returns the number of upstreams whose draining was acknowledged. */
  public int drainedUpstreams() {
    return acknowledged.size();
  }

  /** Returns the number of requests that reached an upstream after its acknowledgement. */
  public int arrivals() {
    return arrivals;
  }

  /** Returns the requests that arrived too late. */
  public List<LateArrival> lateArrivals() {
    return List.copyOf(late);
  }
}
