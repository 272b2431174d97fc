package org.marjoramsail.command.platform;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.marjoramsail.core.time.Clock;
import org.marjoramsail.platform.assembly.LoopbackPlatform;
import org.marjoramsail.platform.standin.PlatformStandIn;
import org.marjoramsail.standin.load.ArrivalLog;
import org.marjoramsail.standin.load.Disturbances;
import org.marjoramsail.standin.load.DrainLog;

/**
 * What arrives at the servers of a soak, and which of its parts were disturbed meanwhile. Safe for
 * several threads.
 */
final class SoakArrivals {

  /** Time after a disturbance for which requests of the disturbed part are not judged. */
  private static final long SETTLE_MILLIS = 3_000;

  private final Clock clock;
  private final Disturbances disturbances = new Disturbances(SETTLE_MILLIS);
  private final DrainLog drains = new DrainLog(LoopbackPlatform.DRAIN_MILLIS, disturbances);
  private final Map<String, ArrivalLog> retries = new HashMap<>();

  SoakArrivals(Clock clock, double retrySlack) {
    this.clock = clock;
    for (String service : List.of(PlatformStandIn.ENGINES, PlatformStandIn.DESK)) {
      retries.put(service, new ArrivalLog(LoopbackPlatform.RETRY_RATIO, retrySlack));
    }
  }

  /** Observes the arrivals at a server. */
  void observe(PlatformStandIn platform, String service, String server) {
    platform
        .server(server)
        .onArrival(
            (attempt, prefill, accepted) -> arrived(service, server, attempt, prefill, accepted));
  }

  /** Records that a caller sends a request to a host. */
  synchronized void requested(String service, String request, String host) {
    retries.get(service).requested(clock.millis());
    drains.requested(request, host);
  }

  /** Records that the store has acknowledged that a server leaves. */
  synchronized void drained(String server) {
    drains.acknowledged(server, clock.millis());
  }

  /** Records that a disturbance of a part begins. */
  synchronized void disturbanceBegins(String part) {
    disturbances.begin(part);
  }

  /** Records that a disturbance of a part ends. */
  synchronized void disturbanceEnds(String part) {
    disturbances.end(part, clock.millis());
  }

  /** Returns whether a part was not disturbed recently. */
  synchronized boolean isCalm(String part) {
    return disturbances.isCalm(part, clock.millis());
  }

  /** Returns for each service the window with the most retries beyond what is allowed. */
  synchronized Map<String, ArrivalLog.Window> worstWindows() {
    Map<String, ArrivalLog.Window> worst = new TreeMap<>();
    retries.forEach((service, log) -> worst.put(service, log.worstWindow()));
    return worst;
  }

  /** Returns what arrived at servers that were leaving. */
  synchronized PlatformSoakReport.Draining draining() {
    return new PlatformSoakReport.Draining(
        drains.drainedUpstreams(), drains.arrivals(), drains.lateArrivals());
  }

  private synchronized void arrived(
      String service, String server, String attempt, boolean prefill, boolean accepted) {
    long nowMillis = clock.millis();
    if (prefill) {
      retries.get(service).prefillArrived(attempt, accepted, nowMillis);
    } else {
      retries.get(service).runArrived(attempt, nowMillis);
    }
    drains.arrived(attempt, server, nowMillis);
  }
}
