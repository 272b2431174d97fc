package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.marjoramsail.platform.standin.CallerStandIn;
import org.marjoramsail.standin.load.Disturbances;

/**
 * Detects responses that daemons broke off although the servers of the request only paused for a
 * moment. Not thread-safe.
 */
final class SilenceLog {

  /** Shortest gap in a response that is counted as long. */
  private static final long LONG_GAP_MILLIS = 2_000;

  /** Covers the whole life of a request that ends before its deadline. */
  private static final long SETTLE_MILLIS = CallerStandIn.DEADLINE_MILLIS;

  /** Name of the soak itself among the parts with trouble. */
  private static final String SOAK = "soak";

  private final Disturbances troubles = new Disturbances(SETTLE_MILLIS);
  private final Disturbances pauses = new Disturbances(SETTLE_MILLIS);
  private final Disturbances longPauses = new Disturbances(SETTLE_MILLIS);
  private final Map<String, Set<String>> servers = new HashMap<>();
  private final List<String> lost = new ArrayList<>();
  private int brokenOff;
  private int atDeadline;
  private int repeats;
  private int longGaps;

  /** Records that a server has trouble other than a pause. */
  void troubleBegins(String server) {
    troubles.begin(server);
  }

  /** Records that such trouble ends. */
  void troubleEnds(String server, long nowMillis) {
    troubles.end(server, nowMillis);
  }

  /** Records that the process of the soak was delayed, so that pauses were longer than planned. */
  void stalled(long nowMillis) {
    troubles.begin(SOAK);
    troubles.end(SOAK, nowMillis);
  }

  /**
   * Records that a server stops sending and keeps its connections open.
   *
   * @param isLong whether the pause may last for 2 s or more
   */
  void pauseBegins(String server, boolean isLong) {
    pauses.begin(server);
    if (isLong) {
      longPauses.begin(server);
    }
  }

  /** Records that a server goes on. */
  void pauseEnds(String server, boolean isLong, long nowMillis) {
    pauses.end(server, nowMillis);
    if (isLong) {
      longPauses.end(server, nowMillis);
    }
  }

  /** Records that a request arrives at a server that is to run it. */
  void runArrived(String request, String server, long nowMillis) {
    Set<String> earlier = servers.computeIfAbsent(request, id -> new LinkedHashSet<>());
    if (earlier.stream().anyMatch(before -> !pauses.isCalm(before, nowMillis))) {
      repeats++;
    }
    earlier.add(server);
  }

  /** Records the longest gap in a response. */
  void gap(long millis) {
    longGaps += millis > LONG_GAP_MILLIS ? 1 : 0;
  }

  /**
   * Records that a daemon without a fault broke off a response, or sent none.
   *
   * @param afterMillis time since the request was sent
   */
  void brokenOff(String request, String host, long afterMillis, long nowMillis) {
    Set<String> ran = servers.getOrDefault(request, Set.of());
    boolean isPaused = ran.stream().anyMatch(server -> !pauses.isCalm(server, nowMillis));
    boolean isTroubled =
        !troubles.isCalm(SOAK, nowMillis)
            || ran.stream().anyMatch(server -> !troubles.isCalm(server, nowMillis));
    if (!isPaused || isTroubled) {
      return;
    }
    if (afterMillis >= CallerStandIn.DEADLINE_MILLIS) {
      atDeadline++;
      return;
    }
    brokenOff++;
    if (ran.stream().allMatch(server -> longPauses.isCalm(server, nowMillis))) {
      lost.add(request + " at " + host + " after " + afterMillis + " ms, from " + ran);
    }
  }

  /** Returns the result. */
  PlatformSoakReport.Silence result() {
    return new PlatformSoakReport.Silence(brokenOff, atDeadline, repeats, longGaps, lost);
  }
}
