package org.marjoramsail.command.platform;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Detects work for callers that have left: requests that reach a server, and streams that a server
 * still works on, more than half a second after their caller has closed its connection. Not
 * thread-safe.
 *
 * <p>A host that stands still is not excused for what it passes on: the close has arrived before it
 * continues.
 */
final class DepartureLog {

  /** Time after the close in which daemons have to have ended the work, in milliseconds. */
  static final long ALLOWED_MILLIS = 500;

  /** Time after a disturbance of a host in which its streams are not judged, in milliseconds. */
  private static final long SETTLE_MILLIS = 3_000;

  /** Name of the soak itself among the disturbed parts. */
  private static final String SOAK = "soak";

  private record Departure(String host, long atMillis) {}

  private final DisturbedTimes disturbed = new DisturbedTimes();
  private final Map<String, Departure> departures = new HashMap<>();
  private final List<String> late = new ArrayList<>();
  private final List<String> continued = new ArrayList<>();
  private int arrivals;
  private int interrupted;

  /** Records that a disturbance of a host or a server begins. */
  void disturbanceBegins(String part, long nowMillis) {
    disturbed.begin(part, nowMillis);
  }

  /** Records that such a disturbance ends. */
  void disturbanceEnds(String part, long nowMillis) {
    disturbed.end(part, nowMillis);
  }

  /** Records that the process of the soak was delayed. */
  void stalled(long sinceMillis, long nowMillis) {
    disturbed.add(SOAK, sinceMillis, nowMillis);
  }

  /** Records that the caller of a request closes its connection to a host. */
  void left(String request, String host, long nowMillis) {
    departures.put(request, new Departure(host, nowMillis));
  }

  /** Records that a request arrives at a server. */
  void arrived(String request, String server, long nowMillis) {
    Departure departure = departures.get(request);
    if (departure == null) {
      return;
    }
    arrivals++;
    long afterMillis = nowMillis - departure.atMillis();
    boolean isJudged =
        disturbed.isCalm(SOAK, departure.atMillis(), nowMillis)
            && disturbed.isCalm(server, departure.atMillis(), nowMillis);
    if (afterMillis > ALLOWED_MILLIS && isJudged) {
      late.add(
          request + " from " + departure.host() + " at " + server + ", " + afterMillis + " ms");
    }
  }

  /**
   * Records whether a server still works on a stream that it worked on when its caller left, and
   * that would have lasted until now.
   */
  void judged(String request, boolean isAtWork, long nowMillis) {
    Departure departure = departures.get(request);
    boolean isJudged =
        disturbed.isCalm(SOAK, departure.atMillis(), nowMillis)
            && disturbed.isCalm(departure.host(), departure.atMillis() - SETTLE_MILLIS, nowMillis);
    if (!isJudged) {
      return;
    }
    interrupted++;
    if (isAtWork) {
      continued.add(request + " from " + departure.host());
    }
  }

  /** Returns the result. */
  PlatformSoakReport.Departures result() {
    return new PlatformSoakReport.Departures(
        departures.size(), arrivals, late, interrupted, continued);
  }
}
