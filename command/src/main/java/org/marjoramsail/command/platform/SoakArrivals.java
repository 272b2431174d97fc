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
  private final SilenceLog silence = new SilenceLog();
  private final CrashLog crashes = new CrashLog(CrashLog.CONTENT);
  private final LossLog losses = new LossLog();
  private final DepartureLog departures = new DepartureLog();
  private final RefusedConnections refusals = new RefusedConnections();
  private final Map<String, String> hosts = new HashMap<>();
  private final Map<String, ArrivalLog> retries = new HashMap<>();

  SoakArrivals(Clock clock, double retrySlack) {
    this.clock = clock;
    for (String service : List.of(PlatformStandIn.ENGINES, PlatformStandIn.DESK)) {
      retries.put(service, new ArrivalLog(LoopbackPlatform.RETRY_RATIO, retrySlack));
    }
  }

  /** Observes the arrivals at a server. */
  void observe(PlatformStandIn platform, String service, String server) {
    platform.server(server).visits().mark();
    platform
        .server(server)
        .onArrival(
            (attempt, prefill, accepted) -> arrived(service, server, attempt, prefill, accepted));
  }

  /** Records that a caller sends a request to a host. */
  synchronized void requested(String service, String request, String host) {
    retries.get(service).requested(clock.millis());
    drains.requested(request, host);
    hosts.put(request, host);
  }

  /** Records that a caller closes its connection before its response is complete. */
  synchronized void left(String request, String host) {
    departures.left(request, host, clock.millis());
  }

  /** Records whether a server still works on a stream whose caller has left. */
  synchronized void judgeDeparture(String request, boolean isAtWork) {
    departures.judged(request, isAtWork, clock.millis());
  }

  /** Returns what became of requests whose callers have left. */
  synchronized PlatformSoakReport.Departures departures() {
    return departures.result();
  }

  /** Records that a caller sends a request whose content crashes servers. */
  synchronized void crashingRequested(String request, String content) {
    crashes.requested(request, content);
  }

  /**
   * Records the end of a crash of a server; {@link #troubleBegins} records its begin.
   *
   * @param runs the requests that it has run, in order
   */
  synchronized void crashed(List<String> runs) {
    for (int last = runs.size() - 1; last >= 0; last--) {
      if (crashes.isCrashing(runs.get(last))) {
        crashes.crashed(runs.get(last), clock.millis());
        return;
      }
    }
  }

  /** Returns what became of requests whose content crashes servers. */
  synchronized PlatformSoakReport.Crashes crashes() {
    return crashes.result();
  }

  /** Records that the store has acknowledged that a server leaves. */
  synchronized void drained(String server) {
    drains.acknowledged(server, clock.millis());
  }

  /** Records that an unplanned disturbance of a part begins. */
  synchronized void disturbanceBegins(String part) {
    disturbances.begin(part);
    losses.disturbanceBegins(part, clock.millis());
    departures.disturbanceBegins(part, clock.millis());
  }

  /** Records that such a disturbance of a part ends. */
  synchronized void disturbanceEnds(String part) {
    disturbances.end(part, clock.millis());
    losses.disturbanceEnds(part, clock.millis());
    departures.disturbanceEnds(part, clock.millis());
  }

  /** Records that a daemon is told to stop, which excuses no lost call. */
  synchronized void stopBegins(String host) {
    disturbances.begin(host);
    losses.stopBegins(host, clock.millis());
  }

  /** Records that a daemon is told to read its settings again, which excuses no lost call. */
  synchronized void reloadBegins(String host) {
    losses.reloadBegins(host, clock.millis());
  }

  /** Records that a daemon that was told to stop has been started again. */
  synchronized void stopEnds(String host) {
    disturbances.end(host, clock.millis());
  }

  /**
   * Records that the process of the soak was delayed until now, so that daemons are not blamed.
   *
   * @param sinceMillis when it was last known not to be
   */
  synchronized void stalled(long sinceMillis) {
    disturbances.begin(DrainLog.STORE);
    disturbances.end(DrainLog.STORE, clock.millis());
    silence.stalled(clock.millis());
    losses.stalled(sinceMillis, clock.millis());
    departures.stalled(sinceMillis, clock.millis());
  }

  /** Records that a server has trouble other than a pause. */
  synchronized void troubleBegins(String server) {
    silence.troubleBegins(server);
    losses.disturbanceBegins(server, clock.millis());
  }

  /** Records that such trouble of a server ends. */
  synchronized void troubleEnds(String server) {
    silence.troubleEnds(server, clock.millis());
    losses.disturbanceEnds(server, clock.millis());
  }

  /** Records that a server leaves; it serves on, so that this excuses no lost call. */
  synchronized void leaves(String server) {
    silence.troubleBegins(server);
  }

  /** Records that a server pauses, for 2 s or more if {@code isLong}. */
  synchronized void pauseBegins(String server, boolean isLong) {
    silence.pauseBegins(server, isLong);
  }

  /** Records that a server goes on after a pause. */
  synchronized void pauseEnds(String server, boolean isLong) {
    silence.pauseEnds(server, isLong, clock.millis());
  }

  /** Records the longest gap in a response. */
  synchronized void gap(long millis) {
    silence.gap(millis);
  }

  /** Records that the whole request of a call was sent to a host, from a port of its caller. */
  synchronized void sent(String request, int port) {
    String host = hosts.getOrDefault(request, "");
    losses.sent(request, host, port, clock.millis());
    refusals.sent(request, host, port, clock.millis());
  }

  /** Records that a host refused a connection, which its network path had accepted. */
  synchronized void refused(String host, int port) {
    refusals.refused(host, port, clock.millis());
  }

  /** Returns the calls without a complete response. */
  synchronized PlatformSoakReport.Unanswered unanswered() {
    return losses.result();
  }

  /** Records that a call ended without a complete response, by a cause that its caller saw. */
  synchronized void unanswered(String request, String cause) {
    if (refusals.isRefused(request)) {
      losses.refused(request);
    } else {
      losses.unanswered(request, clock.millis(), cause);
    }
  }

  /**
   * Records that a call ended without a response behind one that announced the close of their
   * connection.
   */
  synchronized void unansweredBehindClose(String request, String cause) {
    losses.unansweredBehindClose(request, clock.millis(), cause);
  }

  /** Records that a caller no longer waits for a response. */
  synchronized void gaveUp(String request) {
    losses.gaveUp(request);
  }

  /** Records that the response to a call is broken off whose caller no longer waits for it. */
  synchronized void brokenOffAfterDeadline(String request) {
    losses.brokenOffAfterDeadline(request, clock.millis());
  }

  /** Records that a host broke off the response to a request, or sent none. */
  synchronized void brokenOff(String request, String host, long afterMillis) {
    if (isCalm(host)) {
      silence.brokenOff(request, host, afterMillis, clock.millis());
    }
  }

  /** Returns what became of responses whose servers paused. */
  synchronized PlatformSoakReport.Silence silence() {
    return silence.result();
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
      silence.runArrived(attempt, server, nowMillis);
    }
    drains.arrived(attempt, server, nowMillis);
    losses.arrived(attempt, server);
    departures.arrived(attempt, server, nowMillis);
    crashes.arrived(attempt, prefill, isCalm(hosts.getOrDefault(attempt, "")), nowMillis);
  }
}
